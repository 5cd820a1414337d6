#!/usr/bin/env bash
# Time from the submission of an urgent job to the start command at the worker, by number of workers.
source tests/measure/run/common.sh

readonly rounds=8
for workers in 10 100 1000; do
  start_log
  start_entry 1
  start_entry 2
  start fleet "$build/tests/measure/fleet" --entries=127.41.1.1:7403,127.41.1.2:7403 --workers="$workers" \
    --run-ms=1000 --seconds=60 --print-starts
  eventually 15 fleet_reached replies $((workers * 4))
  sleep 6  # until each share has an owner
  for ((i = 0; i < rounds; ++i)); do
    begin=$(date +%s%6N)
    id=$(api POST /v1/jobs '{"name": "urgent", "team": "stock", "task_count": 1, "importance": 9, "command": "{}",
      "resources": {"cpu_millis": 300, "memory_mb": 1000, "slots": 1}}' | jq -r .id)
    started() { grep -q "^start task=$id/" "$run/fleet.out"; }
    eventually 5 started || true
    sed -n "s|^start task=$id/.*unix_us=||p" "$run/fleet.out" | head -1 |
      awk -v b="$begin" '{printf "%.0f\n", ($1 - b) / 1000}' >>"$run/times-$workers"
  done
  echo "workers=$workers started=$(wc -l <"$run/times-$workers") of $rounds ms: $(sort -n "$run/times-$workers" | xargs)"
  sort -n "$run/times-$workers" | tail -1 | awk -v n="$workers" '{print n, $1}' >>"$run/worst"
  [[ $(wc -l <"$run/times-$workers") == "$rounds" ]] || echo "1000000 1000000" >>"$run/worst"
  stop fleet entry-1 entry-2 log
done
fit "slowest start in ms by workers" "$run/worst"
finish urgent-start "$(awk '$1 >= 1000 {if ($2 > m) m = $2} END {print m}' "$run/worst")" ms none 1300
