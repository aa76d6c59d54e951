#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
