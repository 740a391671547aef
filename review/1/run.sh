#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# With TROUBLE=0 the same streams run without the disruptions.
set -u
cd "$(dirname "$0")"
daemon=../../target/anvilridge_fleet
case=../../target/review/late_prefill
[ -x "$daemon" ] && [ -x "$case" ] || exit 2
settings=$(mktemp -d) || exit 2
trap 'rm -rf "$settings"' EXIT
timeout -k 1 100 "$case" "$daemon" . "$settings" "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
