#!/usr/bin/env bash
# Tail latency with one frozen endpoint, against all endpoints healthy.
exec bash "$(dirname "$0")/../requests.sh" slow-endpoint-tail
