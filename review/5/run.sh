#!/bin/sh
# A new version of the configuration replaces the route of batch jobs that are open by one with another name.
# TROUBLE=0 leaves the disruption out. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/stand replaced review/5/record.txt
