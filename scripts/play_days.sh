#!/usr/bin/env bash
# Runs the test bench BENCH for each of the DAYS of a site file with each of the
# SEEDS, JOBS runs at a time, and writes one report per run to the folder OUT:
#
#   scripts/play_days.sh BENCH SITE OUT "DAYS" "SEEDS" JOBS [OPTION...]
#
# The seed "own" selects the seed that the site file sets for the day. Runs whose
# report exists are skipped, so an interrupted set can be resumed.
# `npm run compare -- OUT [OUT]` compares the reports.
set -uo pipefail
export BENCH=$1 SITE=$2 OUT=$3
days=$4 seeds=$5 jobs=$6
shift 6
export OPTIONS="$*"
mkdir -p "$OUT"

run_day() {
  local report="$OUT/$1.$2.json"
  [ -s "$report" ] && return
  local seed=()
  [ "$2" = own ] || seed=(--seed "$2")
  # shellcheck disable=SC2086 # OPTIONS is split into separate arguments.
  "$BENCH" run "$SITE" "$1" "${seed[@]}" --report "$report.part" \
    --why "set $(basename "$OUT")" $OPTIONS >"$OUT/$1.$2.txt" 2>&1
  [ -s "$report.part" ] && mv "$report.part" "$report"
}
export -f run_day

for seed in $seeds; do
  for day in $days; do
    echo "$day $seed"
  done
done | xargs -P "$jobs" -L 1 bash -c 'run_day "$1" "$2"' run_day
