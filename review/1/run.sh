#!/bin/sh
# A model server ends for good and its address goes to a server of another service.
# TROUBLE=0 leaves the disruption out. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand reuse review/1/record.txt
