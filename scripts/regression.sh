#!/usr/bin/env bash
# Scores the users' deployments. For each it prints the mean worth of the days with
# trouble beside the mean at the last landing (docs/figures.tsv). Needs the users' kit:
#   scripts/regression.sh FLEETBENCH SITES [JOBS]
# SITES is the folder that contains the site files, at any depth. Deployments of 60
# hosts or more are scored two days at a time.
set -u
bench=${1:?the path of fleetbench}
sites=${2:?the folder of the site files}
jobs=${3:-4}
cd "$(dirname "$0")/.."
failed=0
printf '%-28s %8s %8s %8s  %s\n' deployment quiet mean landed gate
while IFS=$'\t' read -r name landed size; do
	case $name in ''|'#'*) continue ;; esac
	file=$(find "$sites" -name "$name.toml" | head -n 1)
	if [ -z "$file" ]; then
		printf '%-28s not found below %s\n' "$name" "$sites"
		failed=1
		continue
	fi
	days=$jobs
	[ "$size" = large ] && days=2
	out=$("$bench" score "$file" --jobs "$days" --why "regression run")
	quiet=$(awk '$1 ~ /^quiet-/ && $2 ~ "/" {print $4; exit}' <<<"$out")
	mean=$(awk '$1 ~ /^(trouble|scale)-[0-9]+$/ && $2 ~ "/" {s += $4; n++} END {if (n) printf "%.3f", s / n}' <<<"$out")
	gate=$(grep -o 'GATE [a-z]*' <<<"$out" | head -n 1)
	printf '%-28s %8s %8s %8s  %s\n' "$name" "$quiet" "$mean" "$landed" "$gate"
	[ "$gate" = 'GATE passed' ] || { failed=1; printf '%s\n' "$out" | tail -n 30; }
done <docs/figures.tsv
exit $failed
