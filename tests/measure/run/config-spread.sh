#!/usr/bin/env bash
# Time from the confirmation of a change until every agent has the configuration, by number of agents.
source tests/measure/run/common.sh

readonly rounds=4
for workers in 10 100 1000; do
  start_log
  start_entry 1
  start_entry 2
  start fleet "$build/tests/measure/fleet" --entries=127.41.1.1:7403,127.41.1.2:7403 --workers="$workers" --seconds=60
  eventually 15 fleet_reached replies $((workers * 4))
  sleep 3  # until all agents are registered, which changes the configuration as well
  for ((i = 0; i < rounds; ++i)); do
    plan=$(api POST /v1/plans "{\"kind\": \"set-limit\", \"operator\": \"measure\", \"limit\": \"evictions-per-minute\",
      \"value\": $((50 + i))}" | jq -r .id)
    sleep 1.5  # the plan itself is a record of the stream that agents hear of
    lines=$(grep -c '^config_everywhere' "$run/fleet.out")
    api POST "/v1/plans/$plan/confirm" '{"operator": "measure"}' >/dev/null
    confirmed=$(date +%s%6N)
    more() { (($(grep -c '^config_everywhere' "$run/fleet.out") > lines)); }
    eventually 10 more
    sed -n 's/^config_everywhere.*unix_us=//p' "$run/fleet.out" | tail -1 |
      awk -v b="$confirmed" '{printf "%.0f\n", ($1 - b) / 1000}' >>"$run/times-$workers"
  done
  echo "workers=$workers ms: $(sort -n "$run/times-$workers" | xargs)"
  sort -n "$run/times-$workers" | tail -1 | awk -v n="$workers" '{print n, $1}' >>"$run/worst"
  stop fleet entry-1 entry-2 log
done
fit "slowest spread in ms by agents" "$run/worst"
finish config-spread "$(awk '$1 == 1000 {print $2}' "$run/worst")" ms none 7000
