# Functions that set up a small fleet of real processes on loopback: sourced by
# the demo and by tests of whole processes. The caller sets BIN and RUN and
# calls stop_fleet at its end.

PIDS=()
declare -A PID PORT

# start NAME COMMAND... runs a process in the background, its output in a file.
start() {
	local name=$1
	shift
	"$@" >"$RUN/$name.out" 2>"$RUN/$name.log" &
	PID[$name]=$!
	PIDS+=($!)
}

# stop_fleet ends every process that start began, and waits.
stop_fleet() {
	local pid
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
	wait 2>/dev/null || true
	PIDS=()
}

# ports NAME... gives each name a free port.
ports() {
	local name list
	list=$("$BIN/bilberrytide-standin" ports --count $#)
	for name in "$@"; do
		PORT[$name]=${list%%$'\n'*}
		list=${list#*$'\n'}
	done
}

# until_true SECONDS WHAT COMMAND... waits until the command succeeds.
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

# file_has FILE tells whether a file has content.
file_has() { [ -s "$1" ]; }

# ready NAME tells whether a process says that it is ready.
ready() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/readyz"; }

# in_force NAME VERSION tells whether the process has the bundle in force.
in_force() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/status" | grep -q "\"version\": $2,"; }

# leased NAME tells whether a key home holds its lease.
leased() { curl -fsS "http://127.0.0.1:${PORT[status_$1]}/status" | grep -q '"leased": true'; }

# publish FILE puts a signed bundle into the stand-in of the configuration
# service, as the platform's own tool would.
publish() { curl -fsS -X PUT --data-binary "@$1" "http://$PLATFORM/control/config/bilberrytide-bundle"; }

# settings_common NAME CERTIFICATE prints what entries' and agents' settings
# have in common. DATA_CENTRE and HOST say where each process runs.
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

# bundle_policy HEARTBEAT TARGET_LEASE prints the head of a bundle: version,
# times and policy.
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
