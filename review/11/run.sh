#!/usr/bin/env bash
# A worker is lost for good, and a job is handed in within 0.1 s of that. The other workers are idle.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

tasks=12
start_store
start_entry 1
for n in 1 2 3 4; do start_side $n 1000; done
await_ready 1
await_workers 1 2 3 4
sleep 1

job="$(new_id)"
if [[ "$trouble" == 1 ]]; then
  kill -KILL "${pid_of[worker-2]}"
  note "worker 2 is lost for good (SIGKILL)"
fi
answer="$(call 1 POST "/q/$job" "{\"spec\":\"once\",\"steps\":[{\"count\":$tasks,\"cpu\":500,\"mem_mb\":256,\"est_ms\":1000}]}")"
[[ "$answer" == 200* ]] || cannot_run "the job was not accepted"
accepted_ms="$(now_ms)"

count_done() {
  cat "$folder"/worker-*.events | jq -r --arg j "$job" 'select(.kind == "run-end" and .how == "done") | .task | select(startswith($j))' |
    sort -u | wc -l
}

# The rule looks finish_s (14 s) after the end of the traffic and allows 3 s without a run. By 18 s a call that is carried
# out 12 s late would have lost its lease of 6 s (hold_max_ms), too; 3 s of the rule and 1 s for the way come on top.
limit_ms=22000
quiet_since="$(now_ms)"
before=-1
while (($(now_ms) - accepted_ms < limit_ms)); do
  ended="$(count_done)"
  if ((ended != before)); then quiet_since="$(now_ms)"; fi
  before=$ended
  ((ended == tasks)) && break
  sleep 0.2
done
waited=$(($(now_ms) - accepted_ms))
state="$(state_of 1 "$job")"
note "after $waited ms $ended of $tasks tasks are done, and the job is shown as $state"
if ((ended < tasks)); then
  idle=$(($(now_ms) - quiet_since))
  if [[ -n "${WATCH_ON:-}" ]]; then
    while (($(count_done) < tasks && $(now_ms) - accepted_ms < 80000)); do sleep 0.2; done
    note "$(count_done) of $tasks tasks are done after $(($(now_ms) - accepted_ms)) ms"
  fi
  copy_events "$job"
  ((idle > 4000)) || cannot_run "tasks have ended in the last 4 s"
  broken "LOST: $((tasks - ended)) tasks of an accepted job have nothing running for $idle ms, with three idle workers"
fi
copy_events "$job"
held "all tasks were done after $waited ms"
