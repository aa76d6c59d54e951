#!/usr/bin/env bash
# Measures idle fleets of real processes on loopback at several sizes: mean CPU use,
# memory and bytes sent between processes, for entries and for agents, and the time
# until a new bundle is in force at every process.
# Usage: scale.sh FOLDER_OF_PROGRAMS [SECONDS [CASE...]], where a case is
# ENTRIES:AGENTS:SERVICES:ACCOUNTS:HOMES:KIND, KIND plain or model, HOMES the key
# homes of each service.
set -u
cd "$(dirname "$0")/.."
BIN=$(realpath "$1")
SECONDS_EACH=${2:-5}
shift $(($# < 2 ? $# : 2))
CASES=("$@")
[ ${#CASES[@]} -gt 0 ] || CASES=(2:4:1:1:3:plain 4:16:1:1:3:plain 10:48:1:1:3:plain 4:16:1:1:1:plain 4:16:1:1:5:plain 4:16:8:1:2:plain 4:16:1:300:3:plain 4:16:1:1:3:model)
RUN=$(mktemp -d)
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT
trap 'exit 1' INT TERM
declare -A HOST DATA_CENTRE
# The ports are below the range that the system uses for outgoing connections. The
# random start makes it unlikely that two runs at a time use the same ports.
NEXT_PORT=$((12000 + RANDOM % 18000))
SETTLE=${SETTLE:-5}
TICKS=$(getconf CLK_TCK)
PAGE=$(getconf PAGESIZE)

# write_bundle prints the bundle of a case.
write_bundle() {
	local name i s homes
	bundle_policy 1s 3s
	cat <<END
[[data_centres]]
name = "north"
region = "home"
END
	for name in $ENTRIES; do
		printf '[[entries]]\nname = "%s"\nhost = "%s"\ndata_centre = "north"\naddress = "127.0.0.1:%s"\n' "$name" "$name" "${PORT[peer_$name]}"
	done
	for ((s = 0; s < SERVICES; s++)); do
		homes=""
		for ((i = s; i < AGENT_COUNT && $(wc -w <<<"$homes") < HOMES; i += SERVICES)); do homes="$homes \"agent-$i\","; done
		printf '[[services]]\nname = "service-%s"\nkind = "%s"\nmax_body = 1048576\n[[services.epochs]]\nnumber = 1\nsince = %s\nhomes = [%s]\n' "$s" "$KIND" "$CREATED" "${homes%,}"
	done
	for ((i = 0; i < AGENT_COUNT; i++)); do
		printf '[[targets]]\nname = "agent-%s"\nservice = "service-%s"\nhost = "agent-%s"\ndata_centre = "north"\naddress = "127.0.0.1:%s"\nendpoint = "%s"\nslots = 8\nqueue = 16\n' \
			"$i" $((i % SERVICES)) "$i" "${PORT[peer_agent-$i]}" "$(cat "$RUN/agent-$i.addr")"
	done
	for ((i = 0; i < ACCOUNTS; i++)); do
		printf '[[accounts]]\nname = "account-%s"\nkey_hashes = ["%s"]\nrate = %s\nburst = 400\nconcurrency = 100\nweight = 1.0\n' "$i" "$(printf %s "key-$i" | sha256sum | cut -d' ' -f1)" "$1"
	done
}

# sample FILE NAME... writes for each process: CPU ticks, resident pages, bytes and
# packets sent, bytes and packets received.
sample() {
	local file=$1 name stat
	shift
	for name in "$@"; do
		stat=$(sed 's/.*) //' "/proc/${PID[$name]}/stat")
		set -- $stat
		echo "$((${12} + ${13})) ${22} $(curl -fsS "http://127.0.0.1:${PORT[status_$name]}/status" |
			awk -F'[:,]' '/"bytes_sent"/ {a=$2} /"bytes_received"/ {b=$2} /"packets_sent"/ {c=$2} /"packets_received"/ {d=$2} END {print a, c, b, d}')"
	done >"$file"
}

# report WHAT BEFORE AFTER SECONDS prints the means per process. Each packet
# counts 28 bytes more, for its UDP and IPv4 headers.
report() {
	paste -d' ' "$2" "$3" | awk -v what="$1" -v s="$4" -v t="$TICKS" -v p="$PAGE" '
		{ cpu += ($7 - $1) / t / s * 100; rss += $8 * p / 1048576; out += ($9 - $3 + 28 * ($10 - $4)) / s; into += ($11 - $5 + 28 * ($12 - $6)) / s
		  b = ($9 - $3 + 28 * ($10 - $4) + $11 - $5 + 28 * ($12 - $6)) / s; if (b > most) most = b; n++ }
		END { printf "  %-7s %3d processes  cpu %.2f%%  rss %.1f MB  out %.0f B/s  in %.0f B/s  most of one, both ways %.0f B/s\n", what, n, cpu / n, rss / n, out / n, into / n, most }'
}

now() { date +%s.%N; }

all_eligible() { [ "$(curl -fsS "http://127.0.0.1:${PORT[status_$1]}/status" | grep -c '"eligible": true')" -eq "$AGENT_COUNT" ]; }

run_case() {
	IFS=: read -r ENTRY_COUNT AGENT_COUNT SERVICES ACCOUNTS HOMES KIND <<<"$1"
	local name names=() start
	ENTRIES="" AGENTS=""
	for ((i = 0; i < ENTRY_COUNT; i++)); do ENTRIES="$ENTRIES entry-$i"; done
	for ((i = 0; i < AGENT_COUNT; i++)); do AGENTS="$AGENTS agent-$i"; done
	for name in $ENTRIES $AGENTS; do
		names+=("peer_$name" "status_$name" "http_$name")
		HOST[$name]=$name
		DATA_CENTRE[$name]=north
	done
	for name in "${names[@]}"; do PORT[$name]=$((NEXT_PORT++)); done
	CREATED=$(date -u +%Y-%m-%dT%H:%M:%SZ)
	rm -f "$RUN"/*.addr "$RUN"/v?.*
	start platform "$BIN/bilberrytide-standin" platform --address-file "$RUN/platform.addr"
	local standin=plain
	[ "$KIND" = model ] && standin=engine
	for name in $AGENTS; do
		start "target-$name" "$BIN/bilberrytide-standin" $standin --name "$name" --address-file "$RUN/$name.addr"
	done
	for name in platform $AGENTS; do until_true 10 "$name" file_has "$RUN/$name.addr" || return 1; done
	PLATFORM=$(cat "$RUN/platform.addr")
	write_bundle 20.0 >"$RUN/draft.toml"
	"$BIN/bilberrytide" bundle new --draft "$RUN/draft.toml" --out "$RUN/v1.toml" >/dev/null || return 1
	"$BIN/bilberrytide" bundle approve "$RUN/v1.toml" --key "$RUN/operator.key" --first --out "$RUN/v1.signed.toml" >/dev/null || return 1
	publish "$RUN/v1.signed.toml" >/dev/null
	for name in $ENTRIES; do
		key entry "$name"
		{
			printf 'name = "%s"\nlisten = "127.0.0.1:%s"\nbalancer_lag = "0s"\n' "$name" "${PORT[http_$name]}"
			settings_common "$name" "$RUN/keys/$name/entry-$name"
		} >"$RUN/$name.toml"
		start "$name" "$BIN/bilberrytide" entry --settings "$RUN/$name.toml"
	done
	for name in $AGENTS; do
		key agent "$name"
		{
			printf 'target = "%s"\n' "$name"
			settings_common "$name" "$RUN/keys/$name/agent-$name"
		} >"$RUN/$name.toml"
		start "$name" "$BIN/bilberrytide" agent --settings "$RUN/$name.toml"
	done
	for name in $ENTRIES; do until_true 20 "all targets eligible at $name" all_eligible "$name" || return 1; done
	# Wait until new connections have finished path MTU discovery, which sends extra
	# packets.
	sleep "$SETTLE"
	sample "$RUN/entries.1" $ENTRIES
	start=$(now)
	sample "$RUN/agents.1" $AGENTS
	local agents_start=$(now)
	sleep "$SECONDS_EACH"
	sample "$RUN/entries.2" $ENTRIES
	local entries_took=$(awk "BEGIN {print $(now) - $start}")
	sample "$RUN/agents.2" $AGENTS
	local agents_took=$(awk "BEGIN {print $(now) - $agents_start}")
	echo "$ENTRY_COUNT entries, $AGENT_COUNT agents, $SERVICES services of $HOMES key homes, $ACCOUNTS accounts, $KIND"
	report entries "$RUN/entries.1" "$RUN/entries.2" "$entries_took"
	report agents "$RUN/agents.1" "$RUN/agents.2" "$agents_took"
	rollout
	stop_fleet
}

key() { # key ROLE NAME issues a certificate unless it exists
	[ -e "$RUN/keys/$2" ] && return
	"$BIN/bilberrytide" keys issue --role "$1" --name "$2" --ca-cert "$RUN/keys/ca.pem" --ca-key "$RUN/keys/ca.key" --out "$RUN/keys/$2" >/dev/null
}

# rollout publishes a second version and prints the time until it was in force at
# every process, taken from the processes' logs.
rollout() {
	local published last calls
	write_bundle 30.0 >"$RUN/draft2.toml"
	"$BIN/bilberrytide" bundle new --from "$RUN/v1.toml" --draft "$RUN/draft2.toml" --out "$RUN/v2.toml" >/dev/null || return 1
	"$BIN/bilberrytide" bundle approve "$RUN/v2.toml" --key "$RUN/operator.key" --in-force "$RUN/v1.signed.toml" --out "$RUN/v2.signed.toml" >/dev/null || return 1
	published=$(now)
	publish "$RUN/v2.signed.toml" >/dev/null
	for name in $ENTRIES $AGENTS; do until_true 20 "version 2 at $name" in_force "$name" 2 || return 1; done
	last=$(for name in $ENTRIES $AGENTS; do grep 'msg="bundle in force" bundle_version=2' "$RUN/$name.log"; done | sed 's/^time=\([^ ]*\).*/\1/' | sort | tail -1)
	calls=$(curl -fsS "http://$PLATFORM/control/counts")
	echo "  version 2, $(stat -c %s "$RUN/v2.signed.toml") bytes, in force everywhere after $(awk "BEGIN {printf \"%.3f\", $(date -d "$last" +%s.%N) - $published}") s; platform calls so far: $calls"
}

mkdir -p "$RUN/keys"
"$BIN/bilberrytide" keys ca --out "$RUN/keys" >/dev/null
APPROVER=$("$BIN/bilberrytide" bundle keygen --name operator --out "$RUN/operator.key" --output json | sed -n 's/.*"key": "\(.*\)".*/\1/p')
for case in "${CASES[@]}"; do
	run_case "$case" || { echo "FAILED: $case"; tail -n 3 "$RUN"/entry-0.log; exit 1; }
done
