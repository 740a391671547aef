#!/usr/bin/env bash
# Measures placement policies against stand-in engines over real processes.
#
#   bench/run.sh SCENARIO DEPLOYMENT SEEDS...
#
# SCENARIO: none, prefill_killed, decode_killed, daemon_killed, domain_cut,
#   transfers_stalled or stale_load. DEPLOYMENT: a profile of examples/load.
# Environment: LOADS (shares of decode capacity), POLICIES (run in turn for
# each seed and load, in an order that rotates), SECONDS_MEASURED, WARM_UP,
# OUT (folder of the JSON results), BUILD (build folder), KEEP_LOGS (folder
# that receives the daemons' log of the last run), PREFIX_AFFINITY (true or false;
# left to the daemons, if absent).
set -u
cd "$(dirname "$0")/.."
. bench/fleet.sh

SCENARIO=$1
DEPLOYMENT=$2
shift 2
PROFILE=examples/load/$DEPLOYMENT.ini
LOADS=${LOADS:-0.6 0.9 1.0 1.2}
POLICIES=(${POLICIES:-homes round_robin least_loaded})
SECONDS_MEASURED=${SECONDS_MEASURED:-8}
WARM_UP=${WARM_UP:-3}
OUT=${OUT:-build/bench}
mkdir -p "$OUT"
trap 'stop_fleet; exit 1' INT TERM

fault_on() {
  curl -sf -X POST "http://127.0.0.1:${PORT_OF[$1]}/standin/faults" \
    -H 'content-type: application/json' -d "$2" > "$FLEET_DIR/fault.out"
}

# Applies the scenario's fault once the load is under way.
apply_fault() {
  local name
  case $SCENARIO in
    none) ;;
    prefill_killed) kill -KILL "${PID_OF[prefill-1]}" ;;
    decode_killed) kill -KILL "${PID_OF[decode-1]}" ;;
    daemon_killed) kill -KILL "${PID_OF[entry-1]}" ;;
    domain_cut)
      for name in "${ENGINES[@]}"; do
        [[ ${DOMAIN_OF[$name]} == domain-a ]] &&
          kill -KILL "${PID_OF[$name]}"
      done
      ;;
    transfers_stalled)
      for name in "${ENGINES[@]}"; do
        [[ $name == prefill-* ]] &&
          fault_on "$name" '{"fault":"stall_transfer","probability":0.05}'
      done
      ;;
    stale_load)
      for name in "${ENGINES[@]}"; do
        fault_on "$name" '{"fault":"stale_load"}'
      done
      ;;
    *)
      echo "unknown scenario $SCENARIO" >&2
      return 1
      ;;
  esac
}

# run_once POLICY LOAD SEED
run_once() {
  local policy=$1 load=$2 seed=$3
  local output=$OUT/$DEPLOYMENT-$SCENARIO-$load-$policy-$seed.json
  start_fleet "$policy" "$seed" || { stop_fleet; return 1; }
  # Within the measured time, so that what the fault cuts is counted.
  local fault_at=$((WARM_UP + SECONDS_MEASURED / 3))
  local fault_option=(--fault-at "$fault_at")
  [[ $SCENARIO == none ]] && fault_option=()
  local before=$(standin_cpu) started=$(date +%s.%N)
  "$BUILD/anvil_load" --profile "$PROFILE" --load "$load" --seed "$seed" \
    --warm-up "$WARM_UP" --seconds "$SECONDS_MEASURED" --key "$CALLER_KEY" \
    --daemons "$(addresses CALLER_PORT_OF "${DAEMONS[@]}")" \
    --metrics "$(addresses METRICS_PORT_OF "${DAEMONS[@]}")" \
    --engines "$(addresses PORT_OF "${ENGINES[@]}")" \
    "${fault_option[@]}" --policy "$policy" --scenario "$SCENARIO" --output "$output" \
    > "$FLEET_DIR/load.out" 2> "$FLEET_DIR/load.err" &
  local load_pid=$!
  sleep "$fault_at"
  apply_fault
  wait "$load_pid" || cat "$FLEET_DIR/load.err" >&2
  echo "$SCENARIO $DEPLOYMENT load $load seed $seed $policy:" \
    "stand-in CPU s $before..$(standin_cpu) in" \
    "$(awk -v a="$started" -v b="$(date +%s.%N)" 'BEGIN { print b - a }') s"
  tail -n +3 "$FLEET_DIR/load.out"
  stop_fleet
}

turn=0
for seed in "$@"; do
  for load in $LOADS; do
    for ((i = 0; i < ${#POLICIES[@]}; ++i)); do
      run_once "${POLICIES[(i + turn) % ${#POLICIES[@]}]}" "$load" "$seed"
    done
    turn=$((turn + 1))
  done
done
