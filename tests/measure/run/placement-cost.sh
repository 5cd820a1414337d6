#!/usr/bin/env bash
# Time of one placement at 1,000 workers, against a linear scan.
exec bash "$(dirname "$0")/../requests.sh" placement-cost
