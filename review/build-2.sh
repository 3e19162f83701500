#!/bin/sh
# Builds the stand-ins of the cases from number 6 on.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/stand-2
