# Functions of the review's scripts: a small deployment of the project's own programs on loopback addresses.
# Sourced by review/N/run.sh, which sets `here` to its folder. All durations are real time.

root="$(cd "$here/../.." && pwd)"
daemon=target/src/daemon/berylgauged
standins="$root/target/review-3/tests/standins"
folder="$(mktemp -d)"
record="$here/record.txt"
pids=()
declare -A pid_of
: > "$record"

now_ms() { date +%s%3N; }
begun_ms="$(now_ms)"
note() { printf '%7d ms  %s\n' "$(($(now_ms) - begun_ms))" "$*" | tee -a "$record"; }

# Ends only what this script has started.
finish() {
  local pid
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2> /dev/null; kill -KILL "$pid" 2> /dev/null; done
  wait 2> /dev/null
  if [[ -n "${KEEP_LOGS:-}" ]]; then cp -r "$folder" "$KEEP_LOGS"; fi
  rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot_run() { note "the case could not run: $*"; exit 2; }
broken() { note "BROKEN: $*"; exit 1; }
held() { note "held: $*"; exit 0; }

[[ -x "$root/$daemon" && -x "$standins/standin_keyed_log" ]] || cannot_run "a program is missing; build first"

# A free range 127.N.x.x: the addresses of one deployment.
net=
for ((i = 0; i < 50; ++i)); do
  net="127.$((20 + RANDOM % 200))"
  if ! (exec 3<> "/dev/tcp/$net.0.1/8169") 2> /dev/null && ! (exec 3<> "/dev/tcp/$net.1.1/8161") 2> /dev/null; then break; fi
done
store="$net.0.1:8169"

start() {  # NAME COMMAND...: in the background, output in a file
  local name="$1"
  shift
  (cd "$root" && exec "$@") > "$folder/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=("$!")
}

settings() {  # NAME IP SERVES LISTEN-JSON EXTRA-JSON
  jq -n --arg node "$1" --arg ip "$2" --arg serves "$3" --argjson listen "$4" --argjson extra "$5" --arg store "$store" \
    '{node: $node, ip: $ip, zone: "zone-0", class: $serves, serves: [$serves], port_range: [7720, 7735], listen: $listen,
      heartbeat_ms: 1500, limits: {cpu_share: 0.25, cores: 1, memory_mb: (if $serves == "side" then 128 else 260 end), max_fds: 4096},
      orders: "call", contracts: ["base", "drain", "config", "cost", "recover", "sched", "places", "platform"],
      bounds: {grace_s: 6, hold_max_ms: 6000, contact_ms: 3000, ack_ms: 4000, cancel_ms: 3000, visible_ms: 3000,
               finish_s: 14, status_s: 120, stop_ms: 200, save_s: 1, far_x: 1.5, lease_ms: 3000},
      platform: {addr: $store, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: 24, append_ms: 1.0,
                 record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000}} + $extra' \
    > "$folder/$1.json"
}

start_daemon() {  # NAME: with the command of deploy/system.toml
  start "$1" env BERYLGAUGE_BOOT="$folder/$1.json" "$daemon" --platform
}

entry_ip() { echo "$net.1.$1"; }
side_ip() { echo "$net.2.$1"; }
worker_at() { echo "$(side_ip "$1"):8165"; }

start_entry() {  # NUMBER
  local ip
  ip="$(entry_ip "$1")"
  settings "edge-$1" "$ip" edge "{\"front\": \"$ip:8161\", \"ready\": \"$ip:8167\"}" '{}'
  start_daemon "edge-$1"
}

start_agent() {  # NUMBER
  local ip
  ip="$(side_ip "$1")"
  settings "side-$1" "$ip" side "{\"control\": \"$ip:8166\"}" "{\"app\": \"$ip:8165\"}"
  start_daemon "side-$1"
}

start_worker() {  # NUMBER WORK-MS
  local ip
  ip="$(side_ip "$1")"
  start "worker-$1" "$standins/standin_leased_worker" --id="i-$1" --agent="$ip:8166" --address="$ip" --port=8165 \
    --work-ms="$2" --hold-max-ms=6000 --clock-ms=482113 --record="$folder/worker-$1.events"
}

start_side() {  # NUMBER WORK-MS: an agent and its worker
  start_agent "$1"
  start_worker "$1" "$2"
}

control() {  # ADDRESS CALL JSON
  curl -sS -m 15 -X POST -H 'Content-Type: application/json' -d "$3" "http://$1/control/$2"
}

start_store() {
  start store "$standins/standin_keyed_log" --address="$net.0.1" --port=8169 --record="$folder/store.events"
  local i
  for ((i = 0; i < 100; ++i)); do
    curl -sS -m 1 "http://$store/control/faults" > /dev/null 2>&1 && break
    sleep 0.05
  done
  local config='{"version":1,"routes":[{"name":"checks","host":"h.example","path_prefix":"/q/","service":"dispatch","priority":0,"attempts":4,"stretch":1.5,"target_latency_ms":250}],"services":[],"limits":{}}'
  control "$store" put "$(jq -n --arg v "$config" '{topic: "keyed.op", key: "config", value: $v}')" > /dev/null ||
    cannot_run "the store does not answer"
}

await_ready() {  # NUMBER...: entries
  local n i
  for n in "$@"; do
    for ((i = 0; i < 400; ++i)); do
      [[ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(entry_ip "$n"):8167/v1/readyz")" == 200 ]] && break
      sleep 0.05
    done
    ((i < 400)) || cannot_run "entry $n is not ready"
  done
}

await_workers() {  # NUMBER...: each has a lease, so an owner uses it
  local n i
  for n in "$@"; do
    for ((i = 0; i < 400; ++i)); do
      grep -q '"leased"' "$folder/worker-$n.events" 2> /dev/null && break
      sleep 0.05
    done
    ((i < 400)) || cannot_run "worker $n is not used"
  done
}

call() {  # ENTRY METHOD PATH [BODY]: a client's request; prints "STATUS BODY" (000 without an answer) and notes it
  local out
  out="$(curl -s -m 4 -X "$2" -H 'Host: h.example' -H 'Deadline-Ms: 3000' -H 'Content-Type: application/json' \
    ${4:+-d "$4"} -w ' %{http_code}' "http://$(entry_ip "$1"):8161$3")"
  note "client: $2 $3 at entry $1 -> ${out##* } ${out% *}" >&2
  echo "${out##* } ${out% *}"
}

state_of() {  # ENTRY JOB
  curl -s -m 3 -H 'Host: h.example' -H 'Deadline-Ms: 3000' "http://$(entry_ip "$1"):8161/q/$2" | jq -r '.state // "unknown"'
}

new_id() { printf '%04x%04x%04x%04x' $RANDOM $RANDOM $RANDOM $RANDOM; }

# Starts of a task at a worker: prints one run number a line.
runs_at() {  # WORKER TASK
  [[ -f "$folder/worker-$1.events" ]] || return 0
  jq -r --arg t "$2" 'select(.kind == "run-start" and .task == $t) | .run' "$folder/worker-$1.events" 2> /dev/null
}

copy_events() {  # JOB: what workers did with it, into the record
  local file
  for file in "$folder"/worker-*.events; do
    sed "s/^/$(basename "$file" .events): /" "$file" |
      grep -E "\"$1|\"death\"|\"born\"|\"left\"" >> "$record"
  done
}
