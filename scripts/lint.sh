#!/usr/bin/env bash
# Formatting and the linters, as CI runs them.
set -eu
cd "$(dirname "$0")/.."
unformatted=$(git ls-files -co --exclude-standard -- '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck -checks all ./...
echo "lint: clean"
