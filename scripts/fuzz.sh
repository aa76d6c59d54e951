#!/usr/bin/env bash
# Fuzzes each decoder for the given time.
set -eu
cd "$(dirname "$0")/.."
fuzztime=${1:-10s}
grep -rlE '^func Fuzz' --include='*_test.go' . | while read -r file; do
	package=$(dirname "$file")
	grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | cut -d' ' -f2 | while read -r name; do
		go test -run '^$' -fuzz "^$name\$" -fuzztime "$fuzztime" "$package"
	done
done
