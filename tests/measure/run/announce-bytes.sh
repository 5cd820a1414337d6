#!/usr/bin/env bash
# Bytes a second between an agent and all entries, both directions, by number of entries and of tasks.
source tests/measure/run/common.sh

slots=(1 9 17)
bytes_of() {  # bytes_of AGENT: HTTP/2 bytes of its connections to and from entries; without TCP/IP headers
  curl -s "http://127.41.2.$1:7410/metrics" | awk '/^berylgauge_[a-z_]*bytes[a-z_]*\{/ {sum += $2} END {print sum + 0}'
}
tasks_of() { curl -s "http://127.41.3.$1:7420/v1/report" | jq '[.tasks[] | select(.state == "running")] | length'; }
full() { local i; for i in 1 2 3; do (($(tasks_of "$i") == slots[i - 1])) || return 1; done; }

start_log
start_entry 1
for i in 1 2 3; do start_agent "$i" '["127.41.1.1:7403"]' "${slots[$((i - 1))]}"; done
for i in 1 2 3; do
  for n in 1 2 3; do
    start "endpoint-$i-$n" "$build/tests/standins/standin_endpoint" --address="127.41.4.$i" --port=$((7430 + n)) \
      --agent="127.41.2.$i:7410" --service="service-$n" --slots=8
  done
done
sleep 5  # an agent that has just been registered waits for 4 s before its task list counts as complete
api POST /v1/jobs '{"name": "load", "team": "stock", "task_count": 27, "importance": 8, "command": "{}",
  "resources": {"cpu_millis": 300, "memory_mb": 1000, "slots": 1}}' >/dev/null
eventually 10 full || true
entries=1
for more in 0 1 2; do
  for ((; more > 0; more -= 1)); do
    entries=$((entries + 1))
    start_entry "$entries"
  done
  sleep 2.5  # the agents learn of new entries from the next replies
  for i in 1 2 3; do before[i]=$(bytes_of "$i") at[i]=$(now_ms); done
  sleep 6
  for i in 1 2 3; do
    rate=$(awk -v b="$(($(bytes_of "$i") - before[i]))" -v t="$(($(now_ms) - at[i]))" 'BEGIN {print 1000 * b / t}')
    tasks=$(tasks_of "$i")
    echo "entries=$entries tasks=$tasks bytes_per_second=$rate"
    echo "$entries $rate" >>"$run/by_entries_of_$i"
    echo "$tasks $rate" >>"$run/by_tasks_at_$entries"
  done
done
for n in 1 2 4; do fit "bytes a second by tasks, $n entries" "$run/by_tasks_at_$n"; done
fit "bytes a second by entries, ${slots[2]} tasks" "$run/by_entries_of_3"
for n in 1 2 4 8; do echo "at 17 tasks and $n entries: bytes_per_second=$(at "$n")"; done
finish announce-bytes "$(at 4)" bytes_per_second_at_4_entries none 8000
