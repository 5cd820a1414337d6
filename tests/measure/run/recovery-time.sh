#!/usr/bin/env bash
# Time from an empty entry process to /readyz and to its first start command, by number of jobs in the log.
source tests/measure/run/common.sh

first_start() { (($(grep -c '^start' "$run/fleet.out") > 0)); }
for jobs in 1000 5000 20000; do
  start_log
  "$build/tests/measure/fill_log" --log="$log" --jobs="$jobs"
  start fleet "$build/tests/measure/fleet" --entries=127.41.1.1:7403 --workers=100 --attempts=0 --run-ms=1000 \
    --seconds=60 --print-starts
  sleep 0.5
  begin=$(date +%s%6N)
  start_entry 1
  ready_at=$(date +%s%6N)
  if ! eventually 10 first_start; then
    finish recovery-time no_start ms_to_first_start_with_13000_jobs none 7000
    exit 1
  fi
  read -r ready_ms start_ms < <(sed -n 's/^start.*unix_us=//p' "$run/fleet.out" | head -1 |
    awk -v b="$begin" -v r="$ready_at" '{printf "%.0f %.0f\n", (r - b) / 1000, ($1 - b) / 1000}')
  echo "jobs=$jobs ready_ms=$ready_ms first_start_ms=$start_ms entry_memory_mb=$(resident_mb entry-1)"
  echo "$jobs $ready_ms" >>"$run/ready"
  echo "$jobs $start_ms" >>"$run/first"
  stop fleet entry-1 log
done
fit "ms to /readyz by jobs" "$run/ready"
fit "ms to the first start command by jobs" "$run/first"
finish recovery-time "$(at 13000)" ms_to_first_start_with_13000_jobs none 7000
