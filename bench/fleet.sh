# Starts and ends one deployment on the loopback address: platform, engines,
# services and four daemons. Sourced by the experiment scripts. Ends only
# processes that it started, by id.

BUILD=${BUILD:-build}
CALLER_KEY=bench-key
DOMAINS=(domain-a domain-b domain-c)
FLEET_PIDS=()

# profile_value SECTION KEY: a value of $PROFILE.
profile_value() {
  awk -F ' *= *' -v section="[$1]" -v key="$2" \
    '/^\[/ { in_section = ($0 == section) }
     in_section && $1 == key { print $2 }' "$PROFILE"
}

# start NAME COMMAND...: starts a process, its id in FLEET_PIDS and PID_OF.
declare -A PID_OF
start() {
  local name=$1
  shift
  "$@" > "$FLEET_DIR/$name.out" 2> "$FLEET_DIR/$name.err" &
  PID_OF[$name]=$!
  FLEET_PIDS+=($!)
}

# port_in FILE KEY: waits for the port in a ports file and prints it.
port_in() {
  local tries port
  for tries in $(seq 200); do
    port=$(awk -F ' *= *' -v key="$2" '$1 == key { print $2 }' "$1" 2> /dev/null)
    if [[ -n $port ]]; then
      echo "$port"
      return 0
    fi
    sleep 0.05
  done
  echo "no port $2 in $1" >&2
  return 1
}

start_engine() {
  local name=$1 role=$2 domain=$3 seed=$4
  shift 4
  start "$name" "$BUILD/standin_engine" --id "$name" --role "$role" \
    --failure-domain "$domain" --seed "$seed" \
    --ports-file "$FLEET_DIR/$name.ports" \
    --slots "$(profile_value fleet slots)" \
    --pieces "$(profile_value fleet pieces)" \
    --prefill-tokens-per-second \
    "$(profile_value fleet prefill_tokens_per_second)" \
    --token-interval-ms "$(profile_value fleet token_interval_ms)" \
    --interval-growth "$(profile_value fleet interval_growth)" \
    --output-share-min "$(profile_value fleet output_share_min)" "$@"
}

RECORDS=""
# command OBJECT NAME FIELDS: adds a create command to RECORDS.
command_record() {
  local id="bench-$1-$2"
  RECORDS+="${RECORDS:+,}{\"id\":\"$id\",\"data\":{\"id\":\"$id\",\
\"author\":\"bench\",\"reason\":\"set up by the bench\",\"verb\":\"create\",\
\"object\":\"$1\",\"name\":\"$2\",\"time_ms\":$(date +%s%3N),\
\"base_version\":0,\"fields\":{$3}}}"
}

# Pieces per second that a stand-in engine exports to another failure domain.
CROSS_DOMAIN_PIECES=2000
# The links between all failure domains: each engine has its own uplink, so a
# link carries as many times its rate as prefill engines send on it.
link_records() {
  local from to name senders
  for from in "${DOMAINS[@]}"; do
    senders=0
    for name in "${ENGINES[@]}"; do
      [[ $name == prefill-* && ${DOMAIN_OF[$name]} == "$from" ]] &&
        senders=$((senders + 1))
    done
    [[ $senders == 0 ]] && continue
    for to in "${DOMAINS[@]}"; do
      [[ $from == "$to" ]] && continue
      command_record link "$from-$to" "\"from\":\"$from\",\"to\":\"$to\",\
\"pieces_per_second\":\"$((senders * CROSS_DOMAIN_PIECES))\""
    done
  done
}

configure() {
  local i name port hash objective
  hash=$(printf %s "$CALLER_KEY" | sha256sum | cut -d ' ' -f 1)
  objective=$(profile_value fleet objective)
  RECORDS=""
  command_record team bench ""
  command_record key bench-caller "\"team\":\"bench\",\"sha256\":\"$hash\""
  command_record pool prefill '"role":"prefill","model":"model"'
  command_record pool decode '"role":"decode","model":"model"'
  command_record pool ledger '"role":"service"'
  for name in "${ENGINES[@]}" "${SERVICES[@]}"; do
    port=$(port_in "$FLEET_DIR/$name.ports" http) || return 1
    PORT_OF[$name]=$port
    command_record upstream "$name" "\"pool\":\"${name%-*}\",\
\"address\":\"127.0.0.1:$port\",\"domain\":\"${DOMAIN_OF[$name]}\",\
\"slots\":\"$(profile_value fleet slots)\",\
\"pieces\":\"$(profile_value fleet pieces)\""
  done
  link_records
  command_record route drafts "\"model\":\"model\",\
\"prefill_pool\":\"prefill\",\"decode_pool\":\"decode\",\
\"objective\":\"$objective\",\
\"first_token\":\"$(profile_value targets first_token)\",\
\"between_tokens\":\"$(profile_value targets between_tokens)\""
  command_record route ledger '"path":"/ledger/","service_pool":"ledger"'
  curl -sf -X POST "http://$PLATFORM/log/config" \
    -H 'content-type: application/json' \
    -d "{\"records\":[$RECORDS]}" > "$FLEET_DIR/configure.out"
}

start_daemon() {
  local name=$1 domain=$2 seeds=$3 policy=$4
  cat > "$FLEET_DIR/$name.ini" << INI
[daemon]
name = $name
failure_domain = $domain
ports_file = $FLEET_DIR/$name.ports
[caller]
listen = 127.0.0.1:0
[operator]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
[metrics]
listen = 127.0.0.1:0
[platform]
log = $PLATFORM
vm_list = $PLATFORM
[peers]
key_file = $FLEET_DIR/peer.key
probe_interval = 200ms
lease = 2s
${seeds:+seeds = $seeds}
[placement]
policy = $policy
${PREFIX_AFFINITY:+prefix_affinity = $PREFIX_AFFINITY}
INI
  start "$name" "$BUILD/anvilridged" --config "$FLEET_DIR/$name.ini"
}

wait_ready() {
  local name tries
  for name in "${DAEMONS[@]}"; do
    for tries in $(seq 200); do
      curl -sf "http://127.0.0.1:${METRICS_PORT_OF[$name]}/readyz" \
        > "$FLEET_DIR/ready.out" && continue 2
      sleep 0.05
    done
    echo "daemon $name is not ready" >&2
    return 1
  done
}

# start_fleet POLICY SEED
start_fleet() {
  local policy=$1 seed=$2 i name seeds=""
  FLEET_DIR=$(mktemp -d)
  FLEET_PIDS=()
  ENGINES=()
  SERVICES=()
  DAEMONS=()
  declare -gA PORT_OF=() DOMAIN_OF=() METRICS_PORT_OF=() CALLER_PORT_OF=()
  echo bench-secret > "$FLEET_DIR/peer.key"
  start platform "$BUILD/standin_platform" \
    --ports-file "$FLEET_DIR/platform.ports"
  for i in $(seq "$(profile_value fleet prefill_engines)"); do
    name=prefill-$i
    ENGINES+=("$name")
    DOMAIN_OF[$name]=${DOMAINS[i % 3]}
    start_engine "$name" prefill "${DOMAIN_OF[$name]}" $((seed * 100 + i))
  done
  for i in $(seq "$(profile_value fleet decode_engines)"); do
    name=decode-$i
    ENGINES+=("$name")
    DOMAIN_OF[$name]=${DOMAINS[i % 3]}
    start_engine "$name" decode "${DOMAIN_OF[$name]}" $((seed * 100 + 50 + i))
  done
  for i in $(seq "$(profile_value fleet services)"); do
    name=ledger-$i
    SERVICES+=("$name")
    DOMAIN_OF[$name]=${DOMAINS[i % 3]}
    start "$name" "$BUILD/standin_service" --id "$name" --latency-ms 2 \
      --ports-file "$FLEET_DIR/$name.ports"
  done
  PLATFORM=127.0.0.1:$(port_in "$FLEET_DIR/platform.ports" http) || return 1
  configure || return 1
  for i in 1 2 3 4; do
    name=entry-$i
    DAEMONS+=("$name")
    start_daemon "$name" "${DOMAINS[i % 3]}" "$seeds" "$policy"
    seeds+="${seeds:+, }127.0.0.1:$(port_in "$FLEET_DIR/$name.ports" peer)" ||
      return 1
    METRICS_PORT_OF[$name]=$(port_in "$FLEET_DIR/$name.ports" metrics)
    CALLER_PORT_OF[$name]=$(port_in "$FLEET_DIR/$name.ports" caller)
  done
  wait_ready
}

# addresses NAME_OF_PORT_MAP NAMES...: 127.0.0.1:port,...
addresses() {
  local -n ports=$1
  local name list=""
  shift
  for name in "$@"; do list+="${list:+,}127.0.0.1:${ports[$name]}"; done
  echo "$list"
}

# CPU seconds used by the stand-ins so far.
standin_cpu() {
  local name ticks=0 stat
  for name in "${ENGINES[@]}"; do
    stat=$(awk '{ print $14 + $15 }' "/proc/${PID_OF[$name]}/stat" \
      2> /dev/null) || continue
    ticks=$((ticks + stat))
  done
  awk -v t="$ticks" -v hz="$(getconf CLK_TCK)" 'BEGIN { printf "%.1f", t / hz }'
}

stop_fleet() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do kill -KILL "$pid" 2> /dev/null; done
  for pid in "${FLEET_PIDS[@]}"; do wait "$pid" 2> /dev/null; done
  FLEET_PIDS=()
  if [[ -n ${KEEP_LOGS:-} ]]; then
    mkdir -p "$KEEP_LOGS"
    cp "$FLEET_DIR"/*.err "$KEEP_LOGS"
  fi
  rm -rf "$FLEET_DIR"
}
