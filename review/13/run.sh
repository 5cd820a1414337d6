#!/usr/bin/env bash
# A worker is lost for good while it has not answered a start. The other workers are idle.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

start_store
start_entry 1
for n in 1 2 3 4; do start_side $n 2000; done
await_ready 1
await_workers 1 2 3 4
sleep 1

job="$(new_id)"
task="$job.0.0.0"
if [[ "$trouble" == 1 ]]; then
  for n in 1 2 3 4; do control "$(worker_at $n)" faults '{"keep": ["start"]}' > /dev/null; done
  note "workers leave starts without an answer from now on"
fi
answer="$(call 1 POST "/q/$job" '{"spec":"once","steps":[{"count":1,"cpu":500,"mem_mb":256,"est_ms":2000}]}')"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
accepted_ms="$(now_ms)"

lost=
if [[ "$trouble" == 1 ]]; then
  for ((i = 0; i < 100 && ${#lost} == 0; ++i)); do
    for n in 1 2 3 4; do
      grep -q "\"kept\".*$job\|$job.*\"kept\"" "$folder/worker-$n.events" && lost=$n
    done
    sleep 0.02
  done
  [[ -n "$lost" ]] || cannot_run "no start was sent"
  kill -KILL "${pid_of[worker-$lost]}"
  note "worker $lost, which has the start and has not answered it, is lost for good (SIGKILL)"
  for n in 1 2 3 4; do
    [[ $n == "$lost" ]] || control "$(worker_at $n)" faults '{"keep": []}' > /dev/null
  done
  note "the other workers answer and have nothing to do"
fi

# finish_s is 14 s after the end of the traffic, and the rule allows 3 s without a run; 1 s is left for the way.
limit_ms=18000
while (($(now_ms) - accepted_ms < limit_ms)); do
  started=
  for n in 1 2 3 4; do [[ -n "$(runs_at $n "$task")" ]] && started=$n; done
  [[ -n "$started" ]] && break
  sleep 0.1
done
waited=$(($(now_ms) - accepted_ms))
state="$(state_of 1 "$job")"
if [[ -z "$started" ]]; then
  note "after $waited ms the job is shown as $state and no worker has begun its task"
  if [[ -n "${WATCH_ON:-}" ]]; then
    while [[ -z "$started" ]] && (($(now_ms) - accepted_ms < 80000)); do
      for n in 1 2 3 4; do [[ -n "$(runs_at $n "$task")" ]] && started=$n; done
      sleep 0.1
    done
    note "begun after $(($(now_ms) - accepted_ms)) ms"
  fi
  copy_events "$job"
  broken "LOST: the only task of an accepted job has nothing running for $waited ms, with three idle workers"
fi
for ((i = 0; i < 100; ++i)); do
  [[ "$(state_of 1 "$job")" == done ]] && break
  sleep 0.1
done
copy_events "$job"
note "the job is shown as $(state_of 1 "$job")"
held "begun by worker $started after $waited ms"
