#!/bin/sh
# Builds the stand-ins of the cases, in the repository root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
