#!/usr/bin/env bash
# A start stays without an answer and is carried out seconds later, after its worker has crashed and come back.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

start_store
start_entry 1
start_side 1 9000
start_agent 2
await_ready 1
await_workers 1
sleep 1

# Keeps worker 1 the busier one, so that a task that runs again goes to worker 2.
answer="$(call 1 POST "/q/$(new_id)" '{"spec":"lasts","steps":[{"count":1,"cpu":4000,"mem_mb":256,"est_ms":9000,"long_running":true}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
sleep 1

job="$(new_id)"
task="$job.0.0.0"
if [[ "$trouble" == 1 ]]; then
  control "$(worker_at 1)" faults '{"keep": ["start"]}' > /dev/null
  note "worker 1 leaves starts without an answer from now on"
fi
answer="$(call 1 POST "/q/$job" '{"spec":"once","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":9000}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
start_worker 2 9000
note "worker 2 is added, empty"

if [[ "$trouble" != 1 ]]; then
  for ((i = 0; i < 150; ++i)); do
    [[ "$(state_of 1 "$job")" == done ]] && break
    sleep 0.1
  done
  copy_events "$job"
  starts=$(($(runs_at 1 "$task" | wc -l) + $(runs_at 2 "$task" | wc -l)))
  note "the job is shown as $(state_of 1 "$job"); starts: $starts"
  [[ $starts == 1 ]] && held "the task was started once"
  broken "TWICE without a disruption"
fi

for ((i = 0; i < 200; ++i)); do
  grep '"kept"' "$folder/worker-1.events" | grep -q "$task" && break
  sleep 0.02
done
((i < 200)) || cannot_run "no start was sent to worker 1"
kept_ms="$(now_ms)"
note "worker 1 has a start of the task and has not answered it"
# The agent gives the start up after 1.5 s; the owner orders a stop, which worker 1 answers.
for ((i = 0; i < 400; ++i)); do
  [[ -n "$(runs_at 2 "$task")" ]] && break
  sleep 0.02
done
((i < 400)) || cannot_run "the task did not begin at worker 2"
control "$(worker_at 1)" faults '{"keep": []}' > /dev/null
note "worker 2 has begun run $(runs_at 2 "$task"), $(($(now_ms) - kept_ms)) ms after the start at worker 1; worker 1 answers starts again"
while (($(now_ms) - kept_ms < 2500)); do sleep 0.02; done
control "$(worker_at 1)" faults '{"quiet": true}' > /dev/null
control "$(worker_at 1)" rebirth '{"down_ms": 500, "play_kept": ["start"]}' > /dev/null
age=$(($(now_ms) - kept_ms))
note "worker 1 crashed and was started again under its id 500 ms later; the start, now $age ms old, was carried out"
((age <= 12000)) || cannot_run "a call is at most 12 s late"
# A worker sends a heartbeat about every 1.5 s (heartbeat_ms).
sleep 1
control "$(worker_at 1)" faults '{"quiet": false}' > /dev/null
note "worker 1 sends its first heartbeat since"
sleep 0.5
copy_events "$job"
first="$(runs_at 1 "$task")"
ended="$(jq -r --arg t "$task" 'select(.kind == "run-end" and .task == $t) | .how' "$folder/worker-2.events")"
[[ -n "$first" ]] || held "the late start had no effect"
[[ -z "$ended" ]] || cannot_run "the run at worker 2 had ended as $ended"
broken "TWICE: run" $first "at worker 1 and run" $(runs_at 2 "$task") "at worker 2 are both at work"
