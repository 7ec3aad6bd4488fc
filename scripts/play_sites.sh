#!/usr/bin/env bash
# Runs all days of the sites listed in regression_sites.txt with play_days.sh:
#
#   scripts/play_sites.sh BENCH SYSTEM OUT [WORD]
#
# SYSTEM is the users' system folder. WORD selects the sites whose path contains
# it. Runs whose report exists are skipped, so an interrupted call can be resumed.
set -uo pipefail
bench=$1 system=$2 out=$3 word=${4:-}
here=$(dirname "$0")

grep -v '^#' "$here/regression_sites.txt" | grep -F -- "$word" |
  while read -r site jobs; do
    days=$(awk '/^\[\[day\]\]/ { day = 1 } day && /^name = / { gsub(/"/, "", $3); print $3; day = 0 }' "$system/$site")
    "$here/play_days.sh" "$bench" "$system/$site" "$out/$(basename "$site" .toml)" \
      "$(xargs <<<"$days")" own "$jobs" </dev/null
  done
