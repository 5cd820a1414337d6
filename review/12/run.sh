#!/usr/bin/env bash
# One call of a start stays without an answer, its repeat is answered and the task ends as done. The late call is carried
# out after the worker has crashed and come back.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

trouble="${TROUBLE:-1}"  # 0: the same without the disruption

start_store
start_entry 1
for n in 1 2 3 4 5 6 7 8; do start_side $n 500; done
await_ready 1
await_workers 1 2 3 4 5 6 7 8
sleep 1

job="$(new_id)"
task="$job.0.0.0"
if [[ "$trouble" == 1 ]]; then
  for n in 1 2 3 4 5 6 7 8; do control "$(worker_at $n)" faults '{"keep": ["start"]}' > /dev/null; done
  note "the worker that gets the next start leaves it without an answer"
fi
answer="$(call 1 POST "/q/$job" '{"spec":"once","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":500}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
kept_ms="$(now_ms)"
if [[ "$trouble" == 1 ]]; then
  late=
  for ((i = 0; i < 200 && ${#late} == 0; ++i)); do
    for n in 1 2 3 4 5 6 7 8; do grep '"kept"' "$folder/worker-$n.events" | grep -q "$task" && late=$n; done
    sleep 0.02
  done
  [[ -n "$late" ]] || cannot_run "no start was sent"
  kept_ms="$(now_ms)"
  for n in 1 2 3 4 5 6 7 8; do control "$(worker_at $n)" faults '{"keep": []}' > /dev/null; done
  note "worker $late has a start of the task and has not answered it; it answers starts again"
fi
for ((i = 0; i < 150; ++i)); do
  [[ "$(state_of 1 "$job")" == done ]] && break
  sleep 0.05
done
((i < 150)) || cannot_run "the job did not end"
for ((i = 0; i < 100; ++i)); do
  cat "$folder"/worker-*.events | grep '"noted"' | grep -q "$task" && break
  sleep 0.05
done
((i < 100)) || cannot_run "the end was not taken note of"
note "the job is shown as done, and the end of its run was taken note of (last_seen)"
if [[ "$trouble" == 1 ]]; then
  while (($(now_ms) - kept_ms < 2500)); do sleep 0.02; done
  control "$(worker_at $late)" rebirth '{"down_ms": 500, "play_kept": ["start"]}' > /dev/null
  age=$(($(now_ms) - kept_ms))
  note "worker $late crashed and was started again under its id 500 ms later; the late start, now $age ms old, was carried out"
  ((age <= 12000)) || cannot_run "a call is at most 12 s late"
fi
sleep 2
copy_events "$job"
all_runs() { for n in 1 2 3 4 5 6 7 8; do runs_at $n "$task"; done; }
starts="$(all_runs | wc -l)"
((starts == 1)) && held "the task was started once"
broken "TWICE: run" $(all_runs | tail -n 1) "began after that run had ended as done and the end had been taken note of"
