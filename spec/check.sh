#!/usr/bin/env bash
# Checks every model under spec/ and that each of its mutants fails. Prints a
# line each; exits non-zero when a model fails or a mutant passes.
set -euo pipefail
cd "$(dirname "$0")"
readonly memory_mb=1500
readonly depth=200000
readonly seconds=120

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# Runs one model; prints `ok` or `fails`, or `error` when the check is not
# complete.
verify() {
  local model=$1 mutant=$2 dir=$scratch/$1-${2:-model}
  mkdir "$dir"
  cp "$model.pml" "$dir/"
  (
    cd "$dir"
    spin -a ${mutant:+-D$mutant} "$model.pml" >spin.log 2>&1
    cc -O2 -w -DSAFETY -DCOLLAPSE -DMEMLIM=$memory_mb -o verifier pan.c
    timeout "$seconds" ./verifier -m$depth >verifier.log 2>&1 || true
  )
  local log=$dir/verifier.log
  if ! grep -q 'errors: ' "$log"; then
    echo error
  elif ! grep -q 'errors: 0' "$log"; then
    grep -q 'assertion violated' "$log" && echo fails || echo error
  elif grep -q 'Search not completed' "$log" || grep -q 'max search depth' "$log"; then
    echo error
  else
    echo ok
  fi
}

states() {
  grep -oE '[0-9.e+]+ states, stored' "$scratch/$1-${2:-model}/verifier.log" | cut -d' ' -f1 || true
}

bad=0
check() {
  local model=$1 mutant=$2 expected=$3 got began=$SECONDS
  got=$(verify "$model" "$mutant")
  local verdict=ok
  if [ "$got" != "$expected" ]; then
    verdict=FAILED
    bad=1
    tail -n 5 "$scratch/$model-${mutant:-model}/verifier.log" >&2 || true
  fi
  printf '%-7s %-13s %-19s %s (expected %s), %s states, %ss\n' "$verdict" "$model" \
    "${mutant:-model}" "$got" "$expected" "$(states "$model" "$mutant")" "$((SECONDS - began))"
}

for file in *.pml; do
  model=${file%.pml}
  check "$model" "" ok
  for mutant in $(grep -oE '^#ifn?def MUTANT_[A-Z_]+' "$file" | cut -d' ' -f2 | sort -u); do
    check "$model" "$mutant" fails
  done
done
exit $bad
