#!/usr/bin/env bash
# Ends the stand-ins that start_standins.sh started.
# Usage: stop_standins.sh RUN_FOLDER
set -euo pipefail
for file in "$1"/*.pid; do
  [ -e "$file" ] || continue
  kill "$(cat "$file")" 2>/dev/null || true
  rm -f "$file"
done
