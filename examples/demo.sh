#!/usr/bin/env bash
# Starts a small deployment on the loopback address, puts requests and operators'
# commands through it, and ends it again. Exits with 0 only if every step went
# as expected.
# Usage: demo.sh BUILD_FOLDER
set -euo pipefail
bound_seconds=90
if [ -z "${DEMO_BOUNDED:-}" ]; then
  DEMO_BOUNDED=1 exec timeout --foreground --kill-after=10 "$bound_seconds" \
    bash "$0" "$@"
fi

here=$(cd "$(dirname "$0")" && pwd)
build=$(cd "$1" && pwd)
run=$(mktemp -d)
daemons=(entry-1 entry-2 entry-3 entry-4)
caller_key=choir-$RANDOM$RANDOM
background=()
declare -A daemon_pid

fail() {
  echo "demo failed: $*" >&2
  exit 1
}

title() { printf '\n== %s\n' "$*"; }

# Ends, by their ids, the processes that this run has started.
clean_up() {
  local status=$? pid
  trap '' INT TERM
  for pid in "${daemon_pid[@]}" "${background[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  bash "$here/stop_standins.sh" "$run/standins"
  wait || true
  if ((status != 0)); then
    tail -n 5 "$run"/*.log >&2 || true
  fi
  rm -rf "$run"
  exit "$status"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# eventually SECONDS COMMAND...: runs the command until it succeeds.
eventually() {
  local deadline=$((SECONDS + $1))
  shift
  until "$@"; do
    if ((SECONDS >= deadline)); then fail "not in time: $*"; fi
    sleep 0.05
  done
}

port() { sed -n "s/^$2=//p" "$run/$1.ports"; }

standin_port() { sed -n 's/^http=//p' "$run/standins/$1.ini"; }

ctl() {
  local daemon=$1
  shift
  "$build/anvilctl" --server "127.0.0.1:$(port "$daemon" operator)" \
    --key-file "$run/administrator.key" "$@"
}

post() {
  local daemon=$1 path=$2
  shift 2
  curl --silent --show-error --no-buffer --max-time 20 \
    --header "Authorization: Bearer $caller_key" \
    --header 'Content-Type: application/json' \
    "http://127.0.0.1:$(port "$daemon" caller)$path" "$@"
}

complete() {
  post "$1" /v1/completions --data "{\"model\": \"summary\", \"stream\": true,
    \"prompt\": \"Summarise the season of the choir.\", \"max_tokens\": $2}"
}

holds() { grep -q "$@" 2>/dev/null; }

write_settings() {
  local name=$1 seeds=$2
  cat >"$run/$name.ini" <<EOF
[daemon]
name = $name
failure_domain = domain-a
ports_file = $run/$name.ports

[caller]
listen = 127.0.0.1:0

[operator]
listen = 127.0.0.1:0

[peer]
listen = 127.0.0.1:0

[metrics]
listen = 127.0.0.1:0

[platform]
log = 127.0.0.1:$(standin_port platform)
vm_list = 127.0.0.1:$(standin_port platform)
weight_store = 127.0.0.1:$(standin_port platform)

[peers]
key_file = $run/peer.key
probe_interval = 200ms
lease = 1s
${seeds:+seeds = $seeds}

[log]
destination = $run/$name.log

[bootstrap]
administrator_key_file = $run/administrator.key
EOF
}

start_daemon() {
  local name=$1
  write_settings "$name" "$2"
  "$build/anvilridged" --check-config --config "$run/$name.ini" >"$run/$name.check" 2>&1 ||
    fail "$(cat "$run/$name.check")"
  "$build/anvilridged" --config "$run/$name.ini" 2>"$run/$name.err.log" &
  daemon_pid[$name]=$!
  eventually 10 holds '^metrics=' "$run/$name.ports"
}

ready() {
  curl --silent --fail --max-time 2 --output "$run/ready" \
    "http://127.0.0.1:$(port "$1" metrics)/readyz"
}

in_force() {
  local daemon
  for daemon in "${daemons[@]}"; do
    ctl "$daemon" "$1" >"$run/in_force" 2>&1 || return 1
    holds "$2" "$run/in_force" || return 1
  done
}

title "Starting the stand-ins and ${#daemons[@]} daemons"
bash "$here/start_standins.sh" "$here/standins-demo.txt" "$build" "$run/standins"
(umask 077 && "$build/anvilctl" new-key | sed -n 's/^key *//p' >"$run/peer.key" &&
  "$build/anvilctl" new-key | sed -n 's/^key *//p' >"$run/administrator.key")
seeds=
for daemon in "${daemons[@]}"; do
  start_daemon "$daemon" "$seeds"
  seeds=${seeds:-127.0.0.1:$(port "$daemon" peer)}
done
for daemon in "${daemons[@]}"; do eventually 10 ready "$daemon"; done

title "Publishing the configuration with anvilctl"
commands=$run/demo.commands
sed "s/@KEY@/$(printf %s "$caller_key" | sha256sum | cut -d' ' -f1)/" \
  "$here/demo.commands" >"$commands"
for upstream in prefill-1 prefill-2 decode-1 decode-2 ledger-1; do
  sed -i "s/@$upstream@/$(standin_port "$upstream")/" "$commands"
done
ctl entry-1 --file "$commands" || fail "the configuration was refused"
eventually 9 in_force 'show routes' postings
ctl entry-4 'show upstreams'

title "A streamed completion through entry-2"
complete entry-2 8 | tee "$run/answer"
holds '^data: \[DONE\]' "$run/answer" || fail "the stream did not end whole"

title "A posting through entry-3, and again through entry-4 under the same key"
key=$(date +%s)-fee-2031
for daemon in entry-3 entry-4; do
  post "$daemon" /ledger/postings --include --data '{"fee": 20}' \
    --header "Idempotency-Key: $key" | tee "$run/posting-$daemon"
  echo
  holds '^HTTP/1.1 201' "$run/posting-$daemon" || fail "the posting was refused"
done
holds -i '^idempotency-replayed: true' "$run/posting-entry-4" ||
  fail "the second posting was not replayed"
counts=$(curl --silent --max-time 5 "http://127.0.0.1:$(standin_port ledger-1)/standin/counts")
echo "the service counts: $counts"
[[ $counts =~ \"total\":\ *1[,}] ]] || fail "the posting did not run exactly once"

title "The decisions, from the daemons' logs"
grep -hE '"event":"(placement|routing|outcome_replayed)"' "$run"/entry-?.log |
  tee "$run/decisions"
for event in placement routing outcome_replayed; do
  holds "\"event\":\"$event\"" "$run/decisions" || fail "no decision line of $event"
done

title "A drain: decode-1 gets no new work"
ctl entry-1 --author ana 'drain upstream decode-1 because "disk errors"' ||
  fail "the drain was refused"
eventually 9 in_force 'show upstreams where draining=yes' decode-1
ctl entry-3 'show upstreams where pool=summary-decode'
imports() {
  curl --silent --max-time 5 "http://127.0.0.1:$(standin_port decode-1)/standin/calls" |
    grep -o '"POST /v1/import": *[0-9]*' || true
}
before=$(imports)
for daemon in "${daemons[@]}"; do complete "$daemon" 2 >"$run/drained-$daemon"; done
holds '^data: \[DONE\]' "$run/drained-entry-4" || fail "no answer beside the drain"
[ "$before" = "$(imports)" ] || fail "a draining engine got new work"

title "A contested pair, given through entry-2 and entry-4 at once"
version=$(ctl entry-2 --json 'show teams where name=choir' |
  grep -o '"version": *"\{0,1\}[0-9]*' | grep -o '[0-9]*$')
ctl entry-2 --author ana "change team choir weight=2 against $version because \"season opening\"" &
first=$!
ctl entry-4 --author ivo "change team choir weight=7 against $version because \"complaint\"" &
second=$!
background+=("$first" "$second")
first_exit=0
wait "$first" || first_exit=$?
second_exit=0
wait "$second" || second_exit=$?
case "$first_exit $second_exit" in
  '0 3' | '3 0') ;;
  *) fail "expected one accepted (0) and one contested (3): $first_exit $second_exit" ;;
esac

title "What the incoming pair reads, at entry-1"
eventually 9 in_force 'show contested' choir
ctl entry-1 'handover since midnight' | tee "$run/handover"
for text in 'season opening' complaint 'disk errors' contested; do
  holds "$text" "$run/handover" || fail "the handover does not tell of '$text'"
done

title "Stopping entry-1 while it streams, then the others"
complete entry-1 120 >"$run/last" &
stream=$!
background+=("$stream")
eventually 10 holds '^data:' "$run/last"
for daemon in "${daemons[@]}"; do
  kill -TERM "${daemon_pid[$daemon]}"
  wait "${daemon_pid[$daemon]}" || fail "$daemon ended with $?"
  unset "daemon_pid[$daemon]"
done
wait "$stream" || fail "the stream was cut by the stop"
holds '^data: \[DONE\]' "$run/last" || fail "the stream was cut by the stop"
grep -h '"event":"stop_ended"' "$run"/entry-?.log
title "All as expected"
