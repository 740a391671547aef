#!/usr/bin/env bash
# Starts the stand-ins that a list names, one a line: NAME PROGRAM OPTIONS...
# Usage: start_standins.sh LIST BUILD_FOLDER RUN_FOLDER
# For each NAME it writes RUN_FOLDER/NAME.ini with the port, NAME.pid and
# NAME.log, and returns when all listen. stop_standins.sh ends them.
set -euo pipefail
list=$1
build=$2
run=$3
bound_seconds=10
mkdir -p "$run"

names=()
while read -r name program options; do
  case $name in '' | '#'*) continue ;; esac
  rm -f "$run/$name.ini"
  # The list's options have no spaces in them.
  # shellcheck disable=SC2086
  "$build/$program" --id "$name" $options --ports-file "$run/$name.ini" \
    >"$run/$name.log" 2>&1 &
  echo $! >"$run/$name.pid"
  names+=("$name")
done <"$list"

deadline=$((SECONDS + bound_seconds))
for name in "${names[@]}"; do
  until grep -qs '^http=' "$run/$name.ini"; do
    if ((SECONDS >= deadline)); then
      echo "$name does not listen; see $run/$name.log" >&2
      exit 1
    fi
    sleep 0.05
  done
done
