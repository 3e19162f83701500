#!/bin/sh
# A new version of the configuration removes the route of a batch job whose results had been read.
# TROUBLE=0 leaves the disruption out. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand route review/4/record.txt
