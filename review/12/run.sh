#!/usr/bin/env bash
# One call of a start stays without an answer, its repeat is answered and the task ends as done. The late call is carried
# out after the worker has crashed and come back.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

start_store
start_entry 1
start_side 1 500
await_ready 1
await_workers 1
sleep 1

job="$(new_id)"
task="$job.0.0.0"
if [[ "$trouble" == 1 ]]; then
  control "$(worker_at 1)" faults '{"keep": ["start"]}' > /dev/null
  note "worker 1 leaves starts without an answer from now on"
fi
answer="$(call 1 POST "/q/$job" '{"spec":"once","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":500}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
kept_ms="$(now_ms)"
if [[ "$trouble" == 1 ]]; then
  for ((i = 0; i < 200; ++i)); do
    grep '"kept"' "$folder/worker-1.events" | grep -q "$task" && break
    sleep 0.02
  done
  ((i < 200)) || cannot_run "no start was sent to worker 1"
  kept_ms="$(now_ms)"
  control "$(worker_at 1)" faults '{"keep": []}' > /dev/null
  note "worker 1 has a start of the task and has not answered it; it answers starts again"
fi
for ((i = 0; i < 150; ++i)); do
  [[ "$(state_of 1 "$job")" == done ]] && break
  sleep 0.05
done
((i < 150)) || cannot_run "the job did not end"
for ((i = 0; i < 100; ++i)); do
  grep '"noted"' "$folder/worker-1.events" | grep -q "$task" && break
  sleep 0.05
done
((i < 100)) || cannot_run "the end was not taken note of"
note "the job is shown as done, and the end of run $(runs_at 1 "$task") was taken note of (last_seen)"
if [[ "$trouble" == 1 ]]; then
  while (($(now_ms) - kept_ms < 2500)); do sleep 0.02; done
  control "$(worker_at 1)" rebirth '{"down_ms": 500, "play_kept": ["start"]}' > /dev/null
  age=$(($(now_ms) - kept_ms))
  note "worker 1 crashed and was started again under its id 500 ms later; the late start, now $age ms old, was carried out"
  ((age <= 12000)) || cannot_run "a call is at most 12 s late"
fi
sleep 2
copy_events "$job"
starts="$(runs_at 1 "$task" | wc -l)"
((starts == 1)) && held "the task was started once"
broken "TWICE: run" $(runs_at 1 "$task" | tail -n 1) "began after that run had ended as done and the end had been taken note of"
