#!/usr/bin/env bash
# Plays days of a deployment over several seeds and keeps a report of each play:
#
#   scripts/play_days.sh BENCH SITE OUT "DAYS" "SEEDS" JOBS [OPTION...]
#
# The seed "own" is that of the day in the site file. A play whose report is there
# is left out, so a set that was cut off goes on where it stopped. `npm run compare -- OUT [OUT]` makes a table of the reports.
set -uo pipefail
export BENCH=$1 SITE=$2 OUT=$3
days=$4 seeds=$5 jobs=$6
shift 6
export OPTIONS="$*"
mkdir -p "$OUT"

play() {
  local report="$OUT/$1.$2.json"
  [ -s "$report" ] && return
  local seed=()
  [ "$2" = own ] || seed=(--seed "$2")
  # shellcheck disable=SC2086 # The options are words.
  "$BENCH" run "$SITE" "$1" "${seed[@]}" --report "$report.part" \
    --why "set $(basename "$OUT")" $OPTIONS >"$OUT/$1.$2.txt" 2>&1
  [ -s "$report.part" ] && mv "$report.part" "$report"
}
export -f play

for seed in $seeds; do
  for day in $days; do
    echo "$day $seed"
  done
done | xargs -P "$jobs" -L 1 bash -c 'play "$1" "$2"' play
