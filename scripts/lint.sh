#!/usr/bin/env bash
# Checks the formatting and runs the linters, as CI does.
set -eu
cd "$(dirname "$0")/.."
unformatted=$(git ls-files -co --exclude-standard -- '*.go' | xargs -r gofmt -l)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
go tool staticcheck -checks all ./...
# Names of the users' platform may occur in platform/ only, which translates them
# to the product's own names.
platform_words='kv-range|kv-watch|kv-key|Server-Stamp|Not-Executed|Expect-Instance|Instance-Id|Token-Count|Prefix-Hash|Deadline-Ms|Request-Priority|Weight-Versions|/v1/picked|/v1/order|op/config|op/evacuate|slo_ms|gap_target_ms|api_keys|ready_addr|port_range|Server-Limit|Server-Leaving|Store-Era'
if git grep -nE "$platform_words" -- '*.go' ':!platform'; then
	echo 'words of the platform outside platform/'
	exit 1
fi
echo "lint: clean"
