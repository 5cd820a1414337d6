# Functions of the measurements that start a log, entries and a fleet on 127.0.0.0/8. Source it from the root of the
# repository; everything that was started is stopped at the exit.
set -euo pipefail
build=${BERYLGAUGE_BUILD:-build}
run=$(mktemp -d "${TMPDIR:-/tmp}/berylgauge-measure.XXXXXX")
declare -A pid_of=()

# Ends processes started here and waits for them. Entries are killed, since their planned stop takes seconds and is not
# measured here.
stop() {  # stop NAME...
  local name signal
  for name in "$@"; do
    signal=TERM
    [[ $name != entry-* ]] || signal=KILL
    [[ -z ${pid_of[$name]:-} ]] || kill -"$signal" "${pid_of[$name]}" 2>/dev/null || true
  done
  for name in "$@"; do
    [[ -z ${pid_of[$name]:-} ]] || wait "${pid_of[$name]}" 2>/dev/null || true
    unset "pid_of[$name]"
  done
}
stop_all() { stop "${!pid_of[@]}"; }
trap 'stop_all; rm -rf "$run"' EXIT

start() {  # start NAME PROGRAM ARGUMENT...
  local name=$1
  shift
  "$@" >"$run/$name.out" 2>"$run/$name.log" &
  pid_of[$name]=$!
}

eventually() {  # eventually SECONDS COMMAND...: repeats the command until it succeeds
  local end=$((SECONDS + $1))
  shift
  until "$@"; do
    ((SECONDS < end)) || { echo "not reached in time: $*" >&2; return 1; }
    sleep 0.05
  done
}

ready() { curl -sf -o /dev/null --max-time 2 "http://$1/readyz"; }
listens() { grep -q '^listening' "$run/$1.out"; }

readonly log=127.41.0.10:7400
start_log() {
  start log "$build/tests/standins/standin_log" --address="${log%:*}" --port="${log#*:}"
  eventually 10 listens log
}

write_entry_settings() {  # write_entry_settings NUMBER
  printf 'measure-token' >"$run/token"
  cat >"$run/entry-$1.json" <<JSON
{"role": "entry", "node_id": "entry-$1", "availability_zone": "zone-$1", "region": "ie-west",
 "entry": {"callers_address": "127.41.1.$1", "callers_port": 7402, "operators_address": "127.41.1.$1",
           "operators_port": 7401, "internal_address": "127.41.1.$1", "internal_port": 7403,
           "operator_token_file": "$run/token", "log_url": "http://$log"}}
JSON
}

start_entry() {  # start_entry NUMBER: returns when it is ready
  write_entry_settings "$1"
  start "entry-$1" "$build/src/daemon/berylgauged" "$run/entry-$1.json"
  eventually 15 ready "127.41.1.$1:7401"
}

api() {  # api METHOD PATH [BODY]: calls entry 1
  curl -s --fail-with-body --max-time 10 -X "$1" -H "Authorization: Bearer measure-token" \
    ${3:+--data "$3"} "http://127.41.1.1:7401$2"
}

start_agent() {  # start_agent NUMBER ENTRIES SLOTS: a worker stand-in and its agent with room for SLOTS tasks
  start "worker-$1" "$build/tests/standins/standin_worker" --address="127.41.3.$1" --port=7420 --slots="$3"
  cat >"$run/agent-$1.json" <<JSON
{"role": "agent", "node_id": "agent-$1", "availability_zone": "zone-1", "region": "ie-west",
 "agent": {"worker_id": "real-worker-$1", "rack": "rack-$1", "local_address": "127.41.2.$1", "local_port": 7410,
           "internal_address": "127.41.2.$1", "internal_port": 7411, "worker_url": "http://127.41.3.$1:7420",
           "entries": $2}}
JSON
  eventually 10 listens "worker-$1"
  start "agent-$1" "$build/src/daemon/berylgauged" "$run/agent-$1.json"
  eventually 15 ready "127.41.2.$1:7410"
}

fleet_total() {  # fleet_total KEY: from the newest line of totals; 0 before the first
  { grep '^totals' "$run/fleet.out" || true; } | tail -1 | tr ' ' '\n' | sed -n "s/^$1=//p" | grep . || echo 0
}
fleet_reached() { (($(fleet_total "$1") >= $2)); }

# Processor time of the process so far. The threads' schedstat counts nanoseconds; stat has ticks of 10 ms, too coarse
# for a process that uses a thousandth of a core.
cpu_us() { awk '{sum += $1} END {print int(sum / 1000)}' /proc/"${pid_of[$1]}"/task/*/schedstat; }  # cpu_us NAME
resident_mb() { awk '/^VmRSS/ {printf "%.1f\n", $2 * 1024 / 1e6}' "/proc/${pid_of[$1]}/status"; }
now_ms() { date +%s%3N; }

cpu_percent() {  # cpu_percent SECONDS NAME: of one core, over the time
  local cpu=$(cpu_us "$2") at=$(now_ms)
  sleep "$1"
  awk -v c="$(($(cpu_us "$2") - cpu))" -v t="$(($(now_ms) - at))" 'BEGIN {printf "%.2f\n", c / t / 10}'
}

fit() {  # fit NAME FILE: line by least squares through the readings "x y"; sets slope, intercept and residual
  read -r slope intercept residual < <(awk '
    {x[NR] = $1; y[NR] = $2; sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2}
    END {
      b = (NR * sxy - sx * sy) / (NR * sxx - sx * sx); a = (sy - b * sx) / NR
      for (i = 1; i <= NR; ++i) {r = y[i] - a - b * x[i]; if (r < 0) r = -r; if (r > worst) worst = r}
      printf "%.6g %.6g %.4g\n", b, a, worst
    }' "$2")
  echo "fit $1: slope=$slope intercept=$intercept largest_residual=$residual"
}

at() { awk -v x="$1" -v a="$intercept" -v b="$slope" 'BEGIN {printf "%.4g\n", a + b * x}'; }

finish() {  # finish NAME VALUE UNIT BASELINE TARGET: prints the last line; the value must not exceed the target
  echo "load average while measuring: $(cut -d' ' -f1-3 /proc/loadavg) on $(nproc) processors"
  local ok=$(awk -v v="$2" -v t="$5" 'BEGIN {print v + 0 == v && v <= t ? "yes" : "no"}')
  echo "measure=$1 value=$2 unit=$3 baseline=$4 target=$5 ok=$ok"
}
