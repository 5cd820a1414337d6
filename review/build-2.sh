#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, the stand-ins included. The daemon is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-2"
mkdir -p bin
for source in case-*.cc; do
  g++ -std=c++20 -O1 -Wall -Wextra -o "bin/${source%.cc}" "$source" -pthread &
  builds+=($!)
done
for build in "${builds[@]}"; do wait "$build"; done
