#!/usr/bin/env bash
# Appends a second to the log by number of entries and by task starts a second, and records of an append.
source tests/measure/run/common.sh

# Rates between two outputs of count_log, $1 and $2, that are $3 ms apart; ends with total=N.
rates() {
  awk -F= -v t="$3" '
    NR == FNR {before[$1] = $2; next}
    {n[$1] = $2 - before[$1]}
    END {
      split("members config jobs snapshots", groups, " ")
      for (i = 1; i <= 4; ++i) {
        g = groups[i]; a = n[g "_appends"]; total += a
        printf "%s_appends=%.1f ", g, 1000 * a / t
        if (a > 0) printf "%s_records_per_append=%.1f %s_bytes=%.0f ", g, n[g "_records"] / a, g, 1000 * n[g "_bytes"] / t
      }
      printf "total=%.2f\n", 1000 * total / t
    }' "$1" "$2"
}
count() { "$build/tests/measure/count_log" --log="$log" >"$run/$1" || true; }
total_of() { sed 's/.*total=//' <<<"$1"; }

start_log
start_entry 1
entries=1
for more in 0 1 2; do
  for ((; more > 0; more -= 1)); do
    entries=$((entries + 1))
    start_entry "$entries"
  done
  sleep 7  # until the shares have moved to the new entries
  count before
  begin=$(now_ms)
  sleep 4
  elapsed=$(($(now_ms) - begin))
  count after
  rate=$(rates "$run/before" "$run/after" "$elapsed")
  echo "entries=$entries idle, a second: $rate"
  echo "$entries $(total_of "$rate")" >>"$run/idle"
done
fit "appends a second by entries, idle" "$run/idle"
per_entry=$slope

start fleet "$build/tests/measure/fleet" --entries=127.41.1.1:7403,127.41.1.2:7403,127.41.1.3:7403,127.41.1.4:7403 \
  --workers=100 --run-ms=1000 --seconds=60
eventually 15 fleet_reached replies 800
sleep 1
for rate in 40 80 170; do
  count before
  starts=$(fleet_total starts)
  begin=$(now_ms)
  for ((second = 0; second < 5; ++second)); do
    for ((job = 0; job < rate; job += 10)); do
      api POST /v1/jobs '{"name": "load", "team": "stock", "task_count": 10, "importance": 5, "command": "{}",
        "resources": {"cpu_millis": 100, "memory_mb": 100, "slots": 1}}' >/dev/null
    done
    left=$((begin + (second + 1) * 1000 - $(now_ms)))
    ((left <= 0)) || sleep "$(awk -v t="$left" 'BEGIN {print t / 1000}')"
  done
  elapsed=$(($(now_ms) - begin))
  started=$(awk -v s="$(($(fleet_total starts) - starts))" -v t="$elapsed" 'BEGIN {printf "%.1f\n", 1000 * s / t}')
  count after
  result=$(rates "$run/before" "$run/after" "$elapsed")
  echo "entries=$entries submitted=$rate started=$started, a second: $result"
  echo "$started $(total_of "$result")" >>"$run/load"
  sleep 2
done
fit "appends a second by starts a second, $entries entries" "$run/load"
echo "at 170 starts a second and $entries entries: appends_per_second=$(at 170); each further entry adds $per_entry"
finish log-appends "$(at 170)" appends_per_second none 300
