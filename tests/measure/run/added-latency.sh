#!/usr/bin/env bash
# Latency that berylgauge adds to a request, against calling the endpoint directly.
exec bash "$(dirname "$0")/../requests.sh" added-latency
