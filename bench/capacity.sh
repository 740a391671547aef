#!/usr/bin/env bash
# Runs the measurements behind docs/CAPACITY.md and prints one JSON line each,
# with the load average beside them: bench/capacity.sh [BUILD_FOLDER] [PART...]
# Parts: config home peer claims limits teams membership idle entry first_token (all
# by default).
set -euo pipefail
build=$(cd "${1:-build}" && pwd)
shift || true
parts=${*:-config home peer claims limits teams membership idle entry first_token}

runs() {  # runs PROGRAM SIZES...
  local program=$1
  shift
  for sizes in "$@"; do
    # Sizes of one run are words of one argument.
    # shellcheck disable=SC2086
    timeout 120 "$build/$program" $sizes || echo "failed: $program $sizes"
  done
}

for part in $parts; do
  echo "# $part, load average $(cut -d' ' -f1-3 /proc/loadavg)"
  case $part in
    # TEAMS UPSTREAMS HISTORY
    config) runs config_cost "100 250 300" "250 1000 1000" "500 2500 2000" \
      "990 4900 3000" ;;
    # ENGINES ROWS DAEMONS UPSTREAMS
    home) runs home_cost "5 20 90 1225" "13 20 185 2450" "40 20 370 4900" \
      "13 20 370 4900" ;;
    # PEERS CALLS
    peer) runs peer_cost "1 4000" "37 4000" "370 4000" ;;
    # KEYS
    claims) runs claims_cost 1000 10000 100000 ;;
    # TEAMS UPSTREAMS LINES
    limits) runs limits_cost "100 10 1000" "400 100 3000" "990 1000 5000" ;;
    # TEAMS DAEMONS
    teams) runs teams_cost "16 34" "990 20" ;;
    # MEMBERS OFFSET_CHANGES
    membership) runs membership_cost "8 0" "32 0" "128 0" "370 0" "370 1" \
      "370 4" ;;
    # STREAMS TOKENS ROUNDS ENGINES SECONDS DAEMONS
    idle) runs entry_cost "0 0 0 1 10 1" "0 0 0 4 10 1" "0 0 0 8 10 1" \
      "0 0 0 1 10 8" "0 0 0 1 10 16" "0 0 0 1 10 32" ;;
    entry) runs entry_cost "10 200 1 10" "50 200 1 10" "100 200 1 10" \
      "200 200 1 10" "400 40 1 20" "100 1 1 10" "100 50 1 10" \
      "100 100 1 10" ;;
    # REQUESTS PROMPT_BYTES
    first_token) runs first_token_cost "400 2000" "400 8000" ;;
    *) echo "unknown part $part" >&2; exit 2 ;;
  esac
done
