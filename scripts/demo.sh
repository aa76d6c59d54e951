#!/usr/bin/env bash
# Demonstrates the load balancer with real processes on loopback: two entries, five
# agents, and stand-ins for the platform and the targets. It issues keys, signs a
# bundle, sends requests of each kind, rolls out a change and makes a planned stop.
# Exits non-zero if any step failed.
# Usage: demo.sh FOLDER_OF_PROGRAMS
set -u
cd "$(dirname "$0")/.."
BIN=$1
RUN=$(mktemp -d)
source scripts/fleet.sh
trap 'stop_fleet; rm -rf "$RUN"' EXIT

FAILED=0
check() { # check WHAT COMMAND...
	local what=$1
	shift
	if "$@" >/dev/null 2>&1; then
		echo "  ok      $what"
	else
		echo "  FAILED  $what"
		FAILED=1
	fi
}
say() { printf '\n%s\n' "$*"; }
must() { "$@" || { echo "FAILED: $*"; tail -n 5 "$RUN"/*.log; exit 1; }; }

ENTRIES="entry-1 entry-2"
RANKS="drafting-1 drafting-2"
PAGES="pages-1 pages-2 pages-3"
declare -A HOST=([entry-1]=edge-1 [entry-2]=edge-2 [drafting-1]=gpu-1 [drafting-2]=gpu-2 [pages-1]=web-1 [pages-2]=web-2 [pages-3]=web-3)
declare -A DATA_CENTRE=([entry-1]=north [entry-2]=south [drafting-1]=north [drafting-2]=north [pages-1]=north [pages-2]=south [pages-3]=south)

say "Keys: an operator's CA, a certificate for each process, an approver's key"
mkdir -p "$RUN/keys"
must "$BIN/bilberrytide" keys ca --out "$RUN/keys" >/dev/null
for name in $ENTRIES; do
	must "$BIN/bilberrytide" keys issue --role entry --name "$name" --ca-cert "$RUN/keys/ca.pem" --ca-key "$RUN/keys/ca.key" --out "$RUN/keys/$name" >/dev/null
done
for name in $RANKS $PAGES; do
	must "$BIN/bilberrytide" keys issue --role agent --name "$name" --ca-cert "$RUN/keys/ca.pem" --ca-key "$RUN/keys/ca.key" --out "$RUN/keys/$name" >/dev/null
done
APPROVER=$("$BIN/bilberrytide" bundle keygen --name operator --out "$RUN/operator.key" --output json | sed -n 's/.*"key": "\(.*\)".*/\1/p')

names=()
for name in $ENTRIES $RANKS $PAGES; do names+=("peer_$name" "status_$name"); done
ports "${names[@]}" http_entry-1 http_entry-2 rank_1 rank_2

say "Stand-ins: the platform, a group of two model engines, three plain targets"
start platform "$BIN/bilberrytide-standin" platform --address-file "$RUN/platform.addr" --hosts edge-1,edge-2,gpu-1,gpu-2,web-1,web-2,web-3
must until_true 10 platform file_has "$RUN/platform.addr"
PLATFORM=$(cat "$RUN/platform.addr")
# The ranks start held and without a map. The popular experts change every 15 s.
start group "$BIN/bilberrytide-standin" group --name drafting --listen "127.0.0.1:${PORT[rank_1]},127.0.0.1:${PORT[rank_2]}" --layers 2 --experts 8 --slots-per-rank 5 --step 2ms --barrier --start-held --zipf 1.5 --drift-period 15s --platform "$PLATFORM" --model drafting --expert-bytes 100000 --address-file "$RUN/group.addr"
for name in $PAGES; do
	start "target-$name" "$BIN/bilberrytide-standin" plain --name "$name" --address-file "$RUN/$name.addr"
done
for file in group $PAGES; do must until_true 10 "$file" file_has "$RUN/$file.addr"; done

say "A bundle: written, checked, approved, published"
CALLER_KEY=demo-caller-key
CALLER_HASH=$(printf %s "$CALLER_KEY" | sha256sum | cut -d' ' -f1)
source scripts/demo-bundle.sh
write_bundle >"$RUN/draft.toml"
must "$BIN/bilberrytide" bundle new --draft "$RUN/draft.toml" --out "$RUN/v1.toml" >/dev/null
must "$BIN/bilberrytide" bundle check "$RUN/v1.toml"
must "$BIN/bilberrytide" bundle approve "$RUN/v1.toml" --key "$RUN/operator.key" --first --out "$RUN/v1.signed.toml"
must publish "$RUN/v1.signed.toml"

say "Two entries and five agents"
for name in $ENTRIES; do
	{
		echo "name = \"$name\""
		echo "listen = \"127.0.0.1:${PORT[http_$name]}\""
		echo 'balancer_lag = "1s"'
		settings_common "$name" "$RUN/keys/$name/entry-$name"
	} >"$RUN/$name.toml"
	start "$name" "$BIN/bilberrytide" entry --settings "$RUN/$name.toml"
done
for name in $RANKS $PAGES; do
	{
		echo "target = \"$name\""
		settings_common "$name" "$RUN/keys/$name/agent-$name"
	} >"$RUN/$name.toml"
	start "$name" "$BIN/bilberrytide" agent --settings "$RUN/$name.toml"
done
for name in $ENTRIES $RANKS $PAGES; do must until_true 20 "$name ready" ready "$name"; done
for name in $PAGES; do must until_true 20 "$name key home leased" leased "$name"; done

ENTRY1=http://127.0.0.1:${PORT[http_entry-1]}
ENTRY2=http://127.0.0.1:${PORT[http_entry-2]}
AUTH="Authorization: Bearer $CALLER_KEY"
call() { curl -sS --max-time 20 -H "$AUTH" "$@"; }
served() { call -f "$ENTRY1/services/pages/hello"; }
drafted() { call -f "$ENTRY1/v1/chat/completions" -d '{"model":"drafting","max_tokens":2,"messages":[{"role":"user","content":"ready?"}]}'; }
must until_true 20 "plain targets in rotation" served
must until_true 20 "engines in rotation" drafted

say "Requests"
BODY='{"model":"drafting","max_tokens":12,"messages":[{"role":"user","content":"A budget note for the youth centre"}]}'
call -D "$RUN/json.head" -o "$RUN/json.body" "$ENTRY1/v1/chat/completions" -d "$BODY"
check "a completion as JSON" grep -q '"choices"' "$RUN/json.body"
check "its outcome is done" grep -qi '^Bilberrytide-Outcome: done' "$RUN/json.head"
call -N -o "$RUN/stream.body" "$ENTRY2/v1/chat/completions" -d "${BODY%\}},\"stream\":true}"
check "the same as a stream, to its end" grep -q '^data: \[DONE\]' "$RUN/stream.body"
call -o "$RUN/plain.body" -X PUT "$ENTRY2/services/pages/seats/7?row=b" -d 'window seat'
check "a plain service: method, path, query and body arrive" grep -q 'seats/7' "$RUN/plain.body"

KEY=$(call -X POST "$ENTRY1/v1/idempotency-keys" | sed -n 's/.*"idempotency_key":"\([^"]*\)".*/\1/p')
sleep 1.2 # a key made shortly after its home got its lease can't be proved to be new
KEY=$(call -X POST "$ENTRY1/v1/idempotency-keys" | sed -n 's/.*"idempotency_key":"\([^"]*\)".*/\1/p')
call -D "$RUN/once1.head" -o "$RUN/once1.body" -H "Idempotency-Key: $KEY" "$ENTRY1/services/pages/receipts" -d 'receipt for two seats'
call -D "$RUN/once2.head" -o "$RUN/once2.body" -H "Idempotency-Key: $KEY" "$ENTRY2/services/pages/receipts" -d 'receipt for two seats'
check "a receipt under an idempotency key is done" grep -qi '^Bilberrytide-Outcome: done' "$RUN/once1.head"
check "sent again over the other entry: the saved answer" grep -qi '^Bilberrytide-Replayed: true' "$RUN/once2.head"
check "both answers are the same" cmp "$RUN/once1.body" "$RUN/once2.body"
executions() {
	local name sum=0 n
	for name in $PAGES; do
		n=$(curl -fsS "http://$(cat "$RUN/$name.addr")/control/executions" | grep -o "\"$KEY\":[0-9]*" | cut -d: -f2)
		sum=$((sum + ${n:-0}))
	done
	[ "$sum" -eq 1 ]
}
check "it ran once" executions

call -D "$RUN/bad.head" -o "$RUN/bad.body" "$ENTRY1/v1/chat/completions" -d '{"model":'
check "malformed JSON is refused by name" grep -q '"reason":"bad_json"' "$RUN/bad.body"
curl -sS -o "$RUN/auth.body" -H 'Authorization: Bearer wrong' "$ENTRY1/services/pages/"
check "an unknown key is refused by name" grep -q '"reason":"bad_credentials"' "$RUN/auth.body"

say "An expert map change while answers stream: what is popular drifts"
group_why() { "$BIN/bilberrytide" status --why "127.0.0.1:${PORT[status_drafting-1]}"; }
rounds() { group_why | grep -c 'map_round_committed .*expert_load_drift'; }
another_round() { [ "$(rounds)" -gt "$ROUNDS" ]; }
check "the group got its first map by agreement" until_true 10 "a first map" sh -c "\"$BIN/bilberrytide\" status --why 127.0.0.1:${PORT[status_drafting-1]} | grep -q map_first"
stream() { # stream NUMBER ENTRY reads streamed answers until the file "drifted" exists
	local n=0 body="{\"model\":\"drafting\",\"stream\":true,\"max_tokens\":300,\"messages\":[{\"role\":\"user\",\"content\":\"Project description $1\"}]}"
	until [ -e "$RUN/drifted" ]; do
		n=$((n + 1))
		call -f -N -o "$RUN/drift$1-$n.body" "$2/v1/chat/completions" -d "$body" || return 1
		[ "$(grep -c '^data: ' "$RUN/drift$1-$n.body")" -eq 302 ] && grep -q '^data: \[DONE\]' "$RUN/drift$1-$n.body" || return 1
	done
}
ROUNDS=$(rounds)
for i in 1 2 3 4; do
	entry=$ENTRY1
	[ $((i % 2)) -eq 0 ] && entry=$ENTRY2
	stream "$i" "$entry" &
	STREAMS+=($!)
done
check "a map change by agreement, because the load drifted" until_true 30 "a map change" another_round
touch "$RUN/drifted"
for pid in "${STREAMS[@]}"; do check "every answer meanwhile came whole" wait "$pid"; done
STEPS=$(curl -fsS "http://127.0.0.1:${PORT[rank_1]}/control/steps")
unmixed() { grep -q '"mixed_steps":0,' <<<"$STEPS"; }
check "no step ran on two maps" unmixed
echo "  $(ls "$RUN"/drift*.body | wc -l) streams meanwhile; the group's steps: $STEPS"
group_why | grep -E 'group drafting|map_|change_measured|^TIME'

say "A change: version 2, in force everywhere"
sed 's/burst = 400/burst = 500/' "$RUN/v1.toml" >"$RUN/draft2.toml"
must "$BIN/bilberrytide" bundle new --from "$RUN/v1.toml" --draft "$RUN/draft2.toml" --out "$RUN/v2.toml" >/dev/null
"$BIN/bilberrytide" bundle diff "$RUN/v1.toml" "$RUN/v2.toml"
must "$BIN/bilberrytide" bundle approve "$RUN/v2.toml" --key "$RUN/operator.key" --in-force "$RUN/v1.signed.toml" --out "$RUN/v2.signed.toml"
must publish "$RUN/v2.signed.toml"
for name in $ENTRIES $RANKS $PAGES; do check "version 2 in force at $name" until_true 9 "version 2 at $name" in_force "$name" 2; done

say "A planned stop under way: a target leaves with a request in flight"
curl -fsS -X PUT "http://$(cat "$RUN/pages-1.addr")/control/fault" -d '{"slow":400}' >/dev/null 2>&1 || true
for i in 1 2 3 4 5 6; do call -f -o "$RUN/flight$i.body" "$ENTRY1/services/pages/flight/$i" & FLIGHT+=($!); done
sleep 0.3
kill -TERM "${PID[pages-1]}"
check "the agent ends by itself" wait "${PID[pages-1]}"
for pid in "${FLIGHT[@]}"; do check "a request in flight was answered" wait "$pid"; done
for i in 1 2 3; do check "new work goes to the other targets" call -f "$ENTRY1/services/pages/after/$i"; done

say "What an operator sees"
"$BIN/bilberrytide" status --why "127.0.0.1:${PORT[status_entry-1]}"

say "Stopping by SIGTERM"
for name in $ENTRIES $RANKS pages-2 pages-3; do kill -TERM "${PID[$name]}"; done
for name in $ENTRIES $RANKS pages-2 pages-3; do check "$name ends by itself with code 0" wait "${PID[$name]}"; done
violations() { grep -hs 'invariant' "$RUN"/*.log; }
check "no invariant was violated" test -z "$(violations)"

if [ "$FAILED" -ne 0 ]; then
	say "demo: FAILED"
	tail -n 20 "$RUN"/entry-1.log
	exit 1
fi
say "demo: all steps went well"
