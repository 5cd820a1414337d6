#!/usr/bin/env bash
# A worker is lost for good while jobs are handed in. The other workers have room for all of them.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../harness-3/lib.sh"

trouble="${TROUBLE:-1}"  # 0: the same without the disruption

width=8
start_store
start_entry 1
for n in 1 2 3 4 5 6 7 8; do start_side $n 1000; done
await_ready 1
await_workers 1 2 3 4 5 6 7 8
sleep 1

# A client hands in one job after the other; the fifth of them finds one worker fewer.
ids="$folder/jobs"
body="{\"spec\":\"once\",\"steps\":[{\"count\":$width,\"cpu\":125,\"mem_mb\":256,\"est_ms\":1000}]}"
for ((j = 1; j <= 16; ++j)); do
  if [[ "$trouble" == 1 ]] && ((j == 5)); then
    kill -KILL "${pid_of[worker-2]}"
    note "worker 2 is lost for good (SIGKILL)" &
  fi
  id="$(new_id)"
  status="$(curl -s -m 4 -o /dev/null -X POST -H 'Host: h.example' -H 'Deadline-Ms: 3000' -H 'Content-Type: application/json' \
    -d "$body" -w '%{http_code}' "http://$(entry_ip 1):8161/q/$id")"
  [[ "$status" == 200 ]] || cannot_run "job $j was answered $status"
  echo "$id" >> "$ids"
done
accepted_ms="$(now_ms)"
tasks=$((width * $(wc -l < "$ids")))
note "$(wc -l < "$ids") jobs of $width tasks were accepted (200)"

done_tasks() {
  cat "$folder"/worker-*.events | jq -r 'select(.kind == "run-end" and .how == "done") | .task' | sort -u
}
count_done() { done_tasks | wc -l; }

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
note "after $waited ms $ended of $tasks tasks are done"
if ((ended < tasks)); then
  idle=$(($(now_ms) - quiet_since))
  while read -r id; do
    missing=
    for ((i = 0; i < width; ++i)); do done_tasks | grep -qx "$id.0.0.$i" || missing="$missing $i"; done
    if [[ -n "$missing" ]]; then
      note "job $id is shown as $(state_of 1 "$id"); not done: tasks$missing"
      copy_events "$id"
    fi
  done < "$ids"
  if [[ -n "${WATCH_ON:-}" ]]; then
    while (($(count_done) < tasks && $(now_ms) - accepted_ms < 80000)); do sleep 0.2; done
    note "$(count_done) of $tasks tasks are done after $(($(now_ms) - accepted_ms)) ms"
  fi
  ((idle > 4000)) || cannot_run "tasks have ended in the last 4 s"
  broken "LOST: $((tasks - ended)) tasks of accepted jobs have nothing running for $idle ms, with seven idle workers"
fi
held "all tasks were done after $waited ms"
