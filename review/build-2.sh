#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 6, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
