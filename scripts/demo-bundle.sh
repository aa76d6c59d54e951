# Defines write_bundle, which prints the demo's bundle. demo.sh sources this file
# after it has set the ports and the hash of the caller's key.

write_target() { # write_target NAME SERVICE HOST ENDPOINT
	cat <<EOF

[[targets]]
name = "$1"
service = "$2"
host = "$3"
data_centre = "${DATA_CENTRE[$1]}"
address = "127.0.0.1:${PORT[peer_$1]}"
endpoint = "$4"
slots = 8
queue = 16
EOF
}

write_entry() { # write_entry NAME HOST
	cat <<EOF

[[entries]]
name = "$1"
host = "$2"
data_centre = "${DATA_CENTRE[$1]}"
address = "127.0.0.1:${PORT[peer_$1]}"
EOF
}

write_bundle() {
	bundle_policy 500ms 2s
	cat <<EOF

[[data_centres]]
name = "north"
region = "home"

[[data_centres]]
name = "south"
region = "home"
EOF
	write_entry entry-1 edge-1
	write_entry entry-2 edge-2
	cat <<EOF

[[services]]
name = "drafting"
kind = "model"
max_body = 1048576

[[services.epochs]]
number = 1
since = $(date -u +%Y-%m-%dT%H:%M:%SZ)
homes = ["drafting-1"]

[[services]]
name = "pages"
kind = "plain"
max_body = 1048576

[[services.epochs]]
number = 1
since = $(date -u +%Y-%m-%dT%H:%M:%SZ)
homes = ["pages-1", "pages-2", "pages-3"]
EOF
	write_target drafting-1 drafting gpu-1 "127.0.0.1:${PORT[rank_1]}"
	write_target drafting-2 drafting gpu-2 "127.0.0.1:${PORT[rank_2]}"
	write_target pages-1 pages web-1 "$(cat "$RUN/pages-1.addr")"
	write_target pages-2 pages web-2 "$(cat "$RUN/pages-2.addr")"
	write_target pages-3 pages web-3 "$(cat "$RUN/pages-3.addr")"
	cat <<EOF

[[groups]]
name = "drafting"
service = "drafting"
ranks = ["drafting-1", "drafting-2"]
layers = 2
experts = 8
slots_per_rank = 5
expert_bytes = 100000
barrier = true

[[accounts]]
name = "volunteers"
key_hashes = ["$CALLER_HASH"]
rate = 200.0
burst = 400
concurrency = 100
weight = 1.0
EOF
}
