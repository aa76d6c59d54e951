# Functions that run a small fleet of real processes on loopback. The demo and the
# tests of whole processes source this file; they set BIN and RUN, and call
# stop_fleet at the end.

PIDS=()
declare -A PID PORT

# start NAME COMMAND... runs a process in the background and writes its output to a file.
start() {
	local name=$1
	shift
	"$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
	PID[$name]=$!
	PIDS+=($!)
}

# stop_fleet stops every process that start started and waits until they have ended.
stop_fleet() {
	local pid
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	PIDS=()
}

# ports NAME... assigns a free port to each name.
ports() {
	local name list
	list=$("$BIN/bilberrytide-standin" ports --count $#)
	for name in "$@"; do
		PORT[$name]=${list%%$'\n'*}
		list=${list#*$'\n'}
	done
}

# until_true SECONDS WHAT COMMAND... repeats the command until it succeeds or the time is up.
until_true() {
	local tries=$(($1 * 10)) what=$2
	shift 2
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		if [ "$tries" -le 0 ]; then
			echo "FAILED: $what did not come about"
			return 1
		fi
		sleep 0.1
	done
}

# file_has FILE succeeds if the file is not empty.
file_has() { [ -s "$1" ]; }

# ready NAME succeeds if the process reports that it is ready.
ready() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/readyz"; }

# in_force NAME VERSION succeeds if that bundle is in force at the process.
in_force() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/status" | grep -q "\"version\": $2,"; }

# leased NAME succeeds if the key home holds its lease.
leased() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/status" | grep -q '"leased": true'; }

# publish FILE publishes a signed bundle in the stand-in for the configuration
# service, as the platform's own tool would do.
publish() { curl -fsS -X PUT --data-binary "@$1" "http://$PLATFORM/control/config/bilberrytide-bundle"; }

# settings_common NAME CERTIFICATE prints the settings that entries and agents
# share. DATA_CENTRE and HOST map each process to where it runs.
settings_common() {
	cat <<EOF
host = "${HOST[$1]}"
data_centre = "${DATA_CENTRE[$1]}"
peer_listen = "127.0.0.1:${PORT[peer_$1]}"

[platform]
address = "$PLATFORM"

[[approvers.keys]]
name = "operator"
key = "$APPROVER"

[tls]
ca = "$RUN/keys/ca.pem"
cert = "$2.pem"
key = "$2.key"

[status]
listen = "127.0.0.1:${PORT[status_$1]}"
EOF
}

# bundle_policy HEARTBEAT TARGET_LEASE prints the first part of a bundle: its
# version, times and policy.
bundle_policy() {
	cat <<EOF
version = 1
created = $(date -u +%Y-%m-%dT%H:%M:%SZ)

[timeouts]
request = "15s"
request_max = "30s"
heartbeat = "$1"
target_lease = "$2"

[idempotency]
retention = "10m"
clock_error = "500ms"
lease = "3s"

[retry]
budget_share = 0.2
max_attempts = 3
backoff = "20ms"

[ejection]
max_share = 0.4
failures = 5
slow_factor = 4.0
duration = "5s"

[placement]
skew_weight = 4.0
move_weight = 1.0
interval = "2s"
horizon = "1m"
EOF
}
