#!/usr/bin/env bash
# A start stays without an answer and is carried out seconds later, after its worker has crashed and come back.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

trouble="${TROUBLE:-1}"  # 0: the same without the disruption

workers="1 2 3 4 5 6 7 8"
worker_of() { local n; for n in $workers; do [[ -n "$(runs_at $n "$1")" ]] && echo $n; done; }

start_store
start_entry 1
for n in $workers; do start_side $n 3000; done
await_ready 1
await_workers $workers
sleep 1

# One worker has a task that lasts. For 3 s the others are busier than it, so it gets the task; after that it is the
# busiest one, so a task that runs again goes elsewhere.
filler="$(new_id)"
answer="$(call 1 POST "/q/$filler" '{"spec":"lasts","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":3000,"long_running":true}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
for ((i = 0; i < 100; ++i)); do
  first="$(worker_of "$filler.0.0.0")"
  [[ -n "$first" ]] && break
  sleep 0.02
done
[[ -n "$first" ]] || cannot_run "the first task did not begin"
others="$(new_id)"
answer="$(call 1 POST "/q/$others" '{"spec":"once","steps":[{"count":7,"cpu":2000,"mem_mb":256,"est_ms":3000}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
sleep 1.8

job="$(new_id)"
task="$job.0.0.0"
if [[ "$trouble" == 1 ]]; then
  control "$(worker_at $first)" faults '{"keep": ["start"]}' > /dev/null
  note "worker $first leaves starts without an answer from now on"
fi
answer="$(call 1 POST "/q/$job" '{"spec":"once","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":3000}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"

if [[ "$trouble" != 1 ]]; then
  for ((i = 0; i < 150; ++i)); do
    [[ "$(state_of 1 "$job")" == done ]] && break
    sleep 0.1
  done
  copy_events "$job"
  starts=0
  for n in $workers; do starts=$((starts + $(runs_at $n "$task" | wc -l))); done
  note "the job is shown as $(state_of 1 "$job"); starts: $starts"
  [[ $starts == 1 ]] && held "the task was started once"
  broken "TWICE without a disruption"
fi

for ((i = 0; i < 100; ++i)); do
  grep '"kept"' "$folder/worker-$first.events" | grep -q "$task" && break
  sleep 0.02
done
((i < 100)) || cannot_run "no start was sent to worker $first"
kept_ms="$(now_ms)"
note "worker $first has a start of the task and has not answered it"
# The agent gives the start up after 1.5 s; the owner orders a stop, which the worker answers.
for ((i = 0; i < 400; ++i)); do
  second="$(worker_of "$task")"
  [[ -n "$second" ]] && break
  sleep 0.02
done
[[ -n "$second" ]] || cannot_run "the task did not begin elsewhere"
control "$(worker_at $first)" faults '{"keep": [], "quiet": true}' > /dev/null
note "worker $second has begun run $(runs_at $second "$task"), $(($(now_ms) - kept_ms)) ms after the start at worker $first, which answers starts again"
while (($(now_ms) - kept_ms < 2300)); do sleep 0.02; done
control "$(worker_at $first)" rebirth '{"down_ms": 500, "play_kept": ["start"]}' > /dev/null
age=$(($(now_ms) - kept_ms))
note "worker $first crashed and was started again under its id 500 ms later; the start, now $age ms old, was carried out"
((age <= 12000)) || cannot_run "a call is at most 12 s late"
ended="$(jq -r --arg t "$task" 'select(.kind == "run-end" and .task == $t) | .how' "$folder/worker-$second.events")"
again="$(runs_at $first "$task")"
# A worker sends a heartbeat about every 1.5 s (heartbeat_ms).
sleep 1
control "$(worker_at $first)" faults '{"quiet": false}' > /dev/null
note "worker $first sends its first heartbeat since"
sleep 0.5
copy_events "$job"
[[ -n "$again" ]] || held "the late start had no effect"
[[ -z "$ended" ]] || cannot_run "the run at worker $second had ended as $ended"
broken "TWICE: run" $again "at worker $first and run" $(runs_at $second "$task") "at worker $second are both at work"
