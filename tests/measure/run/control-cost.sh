#!/usr/bin/env bash
# Processor time and memory of an entry by number of workers, and of an agent by number of tasks.
source tests/measure/run/common.sh

readonly tasks_of_a_worker=17
readonly sizes=(30 300 1000)
job() {  # job TASKS IMPORTANCE RUN_MS
  printf '{"name": "load", "team": "stock", "task_count": %d, "importance": %d, "resources": {"cpu_millis": 300,
    "memory_mb": 1000, "slots": 1}, "command": "{\\"run_ms\\": %d}"}' "$1" "$2" "$3"
}

echo "entry that owns all shares; workers have $tasks_of_a_worker tasks each, 3 endpoints, heartbeat every 500 ms"
for workers in "${sizes[@]}"; do
  start_log
  start_entry 1
  start fleet "$build/tests/measure/fleet" --entries=127.41.1.1:7403 --workers="$workers" --attempts=0 \
    --run-ms=300000 --seconds=60
  eventually 15 fleet_reached replies $((workers * 2))
  tasks=$((workers * tasks_of_a_worker))
  for ((left = tasks; left > 0; left -= 1000)); do
    api POST /v1/jobs "$(job $((left < 1000 ? left : 1000)) 8 0)" >/dev/null
  done
  eventually 25 fleet_reached running "$tasks" || true
  sleep 1.5
  failures=$(fleet_total failures)
  percent=$(cpu_percent 3 entry-1)
  memory=$(resident_mb entry-1)
  echo "workers=$workers tasks=$(fleet_total running) entry_cpu_percent=$percent entry_memory_mb=$memory" \
    "failed_heartbeats=$(($(fleet_total failures) - failures)) fleet_lag_us=$(fleet_total lag_us)"
  TIMEFORMAT='%U %S'
  command_time=$({ time "$build/src/cli/berylgauge" --entry=127.41.1.1:7401 --token-file="$run/token" --operator=measure \
    --json status >"$run/status"; } 2>&1 | awk '{print 1000 * ($1 + $2)}')
  echo "  berylgauge status: cpu_ms=$command_time answer_bytes=$(wc -c <"$run/status")"
  echo "$workers $percent" >>"$run/cpu"
  echo "$workers $memory" >>"$run/memory"
  stop fleet entry-1 log
done
fit "entry processor time, % of a core by workers" "$run/cpu"
echo "entry at 1000 workers: cpu_percent=$(at 1000)"
fit "entry memory, MB by workers" "$run/memory"
echo "entry at 1000 workers: memory_mb=$(at 1000)"

echo "agent with one worker stand-in and one entry, by tasks that run"
start_log
start_entry 1
slots=(1 9 17)
for i in 1 2 3; do start_agent "$i" '["127.41.1.1:7403"]' "${slots[$((i - 1))]}"; done
sleep 5  # an agent that has just been registered waits for 4 s before its task list counts as complete
api POST /v1/jobs "$(job 27 8 0)" >/dev/null
tasks_of() { curl -s "http://127.41.3.$1:7420/v1/report" | jq '[.tasks[] | select(.state == "running")] | length'; }
full() { local i; for i in 1 2 3; do (($(tasks_of "$i") == slots[i - 1])) || return 1; done; }
eventually 10 full || true
for i in 1 2 3; do cpu[i]=$(cpu_us "agent-$i"); done
begin=$(now_ms)
sleep 6
for i in 1 2 3; do
  percent=$(awk -v c="$(($(cpu_us "agent-$i") - cpu[i]))" -v t="$(($(now_ms) - begin))" 'BEGIN {printf "%.3f\n", c / t / 10}')
  running=$(tasks_of "$i")
  echo "tasks=$running agent_cpu_percent=$percent agent_memory_mb=$(resident_mb "agent-$i")"
  echo "$running $percent" >>"$run/agent_cpu"
  echo "$running $(resident_mb "agent-$i")" >>"$run/agent_memory"
done
fit "agent memory, MB by tasks" "$run/agent_memory"
memory=$(at 17)
fit "agent processor time, % of a core by tasks" "$run/agent_cpu"
echo "agent at 17 tasks: cpu_percent=$(at 17) memory_mb=$memory (limit 128)"
finish control-cost "$(at 17)" percent_of_a_core_per_agent none 1.2
