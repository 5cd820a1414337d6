#!/usr/bin/env bash
# Measures one property of berylgauge on 127.0.0.0/8 and prints as the last line
#   measure=NAME value=V unit=U baseline=B target=T ok=yes|no
# Targets are those that the project states, never former results; docs/requests.md explains the figures.
#
# Usage: tests/measure/requests.sh NAME, as tools/measure calls it
set -euo pipefail
cd "$(dirname "$0")/../.."

readonly names=(added-latency slow-endpoint-tail planned-stop-loss request-cost placement-cost)
name=${1:-}
if [[ " ${names[*]} " != *" $name "* ]]; then
  echo "usage: tests/measure/requests.sh NAME, with one of: ${names[*]}" >&2
  exit 2
fi

readonly build=${BERYLGAUGE_BUILD:-build}
if [[ -z ${BERYLGAUGE_BUILD:-} ]]; then
  tools/install-packages
  cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
  cmake --build "$build" -j "${JOBS:-3}" --target berylgauged standin_log standin_worker standin_endpoint request_load placement_cost >/dev/null
fi
readonly load=$build/tests/measure/request_load

run=$(mktemp -d "${TMPDIR:-/tmp}/berylgauge-measure.XXXXXX")
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  # Frozen stand-ins do not end by themselves.
  for _ in $(seq 100); do
    local alive=0
    for pid in "${pids[@]}"; do if kill -0 "$pid" 2>/dev/null; then alive=1; fi; done
    ((alive)) || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap 'stop_all; rm -rf "$run"' EXIT

start() {  # start NAME PROGRAM ARGUMENT...
  local process=$1
  shift
  "$@" >"$run/$process.out" 2>"$run/$process.log" &
  pids+=($!)
  echo $! >"$run/$process.pid"
}
pid_of() { cat "$run/$1.pid"; }
eventually() {  # eventually SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < end)) || { echo "gave up: $*" >&2; return 1; }
    sleep 0.1
  done
}
ready() { curl -sf -o /dev/null --max-time 2 "http://$1/readyz"; }
answers() { curl -sf -o /dev/null --max-time 2 -X POST --data x "http://127.0.6.$1:7402/dispatch/"; }
field() { jq -r ".$2" <"$run/$1.json"; }
number() { awk "BEGIN { printf \"%.${2:-2}f\", $1 }"; }
at_most() { awk "BEGIN { exit !($1 <= $2) }"; }

start_entry() {
  start "entry-$1" "$build/src/daemon/berylgauged" "$run/entry-$1.cfg"
}
start_agent() { start "agent-$1" "$build/src/daemon/berylgauged" "$run/agent-$1.cfg"; }
start_endpoint() {  # start_endpoint NUMBER SLOTS SERVICE_MS
  start "endpoint-$1" "$build/tests/standins/standin_endpoint" --address="127.0.9.$1" --port=7430 \
    --agent="127.0.7.$1:7410" --service=dispatch --slots="$2" --service-ms="$3"
}
start_system() {  # start_system ENTRIES AGENTS SLOTS SERVICE_MS
  local i entries=""
  printf 'measure-token' >"$run/token"
  start log "$build/tests/standins/standin_log" --address=127.0.6.250 --port=7400
  for i in $(seq "$1"); do
    entries+="${entries:+, }\"127.0.6.$i:7403\""
    cat >"$run/entry-$i.cfg" <<JSON
{"role": "entry", "node_id": "entry-$i", "availability_zone": "galway-yard", "region": "ie-west",
 "entry": {"callers_address": "127.0.6.$i", "callers_port": 7402, "operators_address": "127.0.6.$i",
           "operators_port": 7401, "internal_address": "127.0.6.$i", "internal_port": 7403,
           "operator_token_file": "$run/token", "log_url": "http://127.0.6.250:7400"}}
JSON
    start_entry "$i"
  done
  for i in $(seq "$2"); do
    start "worker-$i" "$build/tests/standins/standin_worker" --address="127.0.8.$i" --port=7420
    cat >"$run/agent-$i.cfg" <<JSON
{"role": "agent", "node_id": "agent-$i", "availability_zone": "galway-yard", "region": "ie-west",
 "agent": {"worker_id": "worker-$i", "rack": "rack-1", "local_address": "127.0.7.$i", "local_port": 7410,
           "internal_address": "127.0.7.$i", "internal_port": 7411, "worker_url": "http://127.0.8.$i:7420",
           "entries": [$entries]}}
JSON
    start_agent "$i"
    start_endpoint "$i" "$3" "$4"
  done
  for i in $(seq "$1"); do eventually 30 ready "127.0.6.$i:7401"; done
  for i in $(seq "$2"); do eventually 30 ready "127.0.7.$i:7410"; done
  for i in $(seq "$1"); do eventually 30 answers "$i"; done
}
run_load() {  # run_load RESULT OPTION...
  local result=$1
  shift
  "$load" "$@" >"$run/$result.json"
  echo "$result: $(cat "$run/$result.json")"
}
report() {  # report VALUE UNIT BASELINE TARGET yes|no
  echo "measure=$name value=$1 unit=$2 baseline=$3 target=$4 ok=$5"
}

added_latency() {
  local connections=${CONNECTIONS:-600} rate target
  start_system 1 2 2 2
  run_load calibration --target=127.0.9.1:7430 --target=127.0.9.2:7430 --connections=16 --seconds=3
  rate=$(number "0.7 * $(field calibration per_second)" 0)
  echo "rate: $rate requests a second, 70% of what both endpoints carry; $connections connections"
  run_load direct --target=127.0.9.1:7430 --target=127.0.9.2:7430 --connections="$connections" --rate="$rate" \
    --seconds=10 --skip-ms=2000
  run_load through --target=127.0.6.1:7402 --connections="$connections" --rate="$rate" --seconds=10 --skip-ms=2000
  target=$(number "1.25 * $(field direct p99_ms)")
  local ok=no
  if at_most "$(field through p99_ms)" "$target" && [[ $(field through lost) == 0 ]]; then ok=yes; fi
  report "$(number "$(field through p99_ms)")" ms-p99 "$(number "$(field direct p99_ms)")" "$target" $ok
}

slow_endpoint_tail() {
  local target ok=no
  start_system 1 4 8 2
  run_load healthy --target=127.0.6.1:7402 --connections=100 --rate=300 --seconds=10 --skip-ms=1000
  curl -sf -o /dev/null --data '{"freeze": true}' http://127.0.9.1:7430/control/faults
  run_load frozen --target=127.0.6.1:7402 --connections=100 --rate=300 --seconds=10 --skip-ms=1000
  target=$(number "1.10 * $(field healthy p99_ms)")
  if at_most "$(field frozen p99_ms)" "$target"; then ok=yes; fi
  report "$(number "$(field frozen p99_ms)")" ms-p99 "$(number "$(field healthy p99_ms)")" "$target" $ok
}

stop_and_wait() {  # stop_and_wait NAME: SIGTERM, and the exit code is checked
  local code=0
  kill -TERM "$(pid_of "$1")"
  wait "$(pid_of "$1")" || code=$?
  echo "stopped $1: exit code $code"
}

planned_stop_loss() {
  start_system 2 3 8 2
  "$load" --target=127.0.6.1:7402 --target=127.0.6.2:7402 --ready=127.0.6.1:7401 --ready=127.0.6.2:7401 \
    --connections=40 --rate=200 --seconds=45 >"$run/loss.json" &
  local load_pid=$!
  sleep 2
  stop_and_wait entry-1
  start_entry 1
  eventually 15 answers 1
  sleep 1
  stop_and_wait agent-1
  start_agent 1
  sleep 3
  stop_and_wait endpoint-2
  start_endpoint 2 8 2
  sleep 3
  stop_and_wait entry-2
  start_entry 2
  eventually 15 answers 2
  sleep 1
  stop_and_wait agent-3
  start_agent 3
  wait "$load_pid"
  echo "loss: $(cat "$run/loss.json")"
  local ok=no
  if [[ $(field loss lost) == 0 ]]; then ok=yes; fi
  report "$(field loss lost)" requests-lost 0 0 $ok
}

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$(pid_of "$1")/stat"; }
rss_kb() { awk '/VmRSS/ { print $2 }' "/proc/$(pid_of "$1")/status"; }

request_cost() {
  start_system 1 1 64 0
  run_load warm-up --target=127.0.6.1:7402 --connections=32 --seconds=2
  local before=$(($(cpu_ticks entry-1) + $(cpu_ticks agent-1)))
  run_load closed --target=127.0.6.1:7402 --connections=32 --seconds=8
  local ticks=$(($(cpu_ticks entry-1) + $(cpu_ticks agent-1) - before)) hertz
  hertz=$(getconf CLK_TCK)
  local idle loaded
  idle=$(rss_kb entry-1)
  "$load" --target=127.0.6.1:7402 --connections=500 --rate=100 --seconds=4 >"$run/connections.json" &
  local load_pid=$!
  sleep 3
  loaded=$(rss_kb entry-1)
  wait "$load_pid"
  echo "processor time of entry and agent: $(number "$ticks / $hertz") s for $(field closed answered) requests"
  echo "memory of the entry: $idle kB with 32 connections before, $loaded kB with 500: $(number "($loaded - $idle) / 500" 1) kB for each connection"
  local ok=yes
  if [[ $(field closed lost) != 0 ]]; then ok=no; fi
  report "$(number "$(field closed answered) * $hertz / $ticks" 0)" requests-per-core-second none none $ok
}

case $name in
  added-latency) added_latency ;;
  slow-endpoint-tail) slow_endpoint_tail ;;
  planned-stop-loss) planned_stop_loss ;;
  request-cost) request_cost ;;
  placement-cost) "$build/tests/measure/placement_cost" ;;
esac
