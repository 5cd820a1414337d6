#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start. Runs after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
launcher=()
if command -v ccache > /dev/null; then launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache); fi
cmake -S review/harness-3 -B target/review-3 -DCMAKE_BUILD_TYPE=RelWithDebInfo "${launcher[@]}"
cmake --build target/review-3 -j8 --target standin_keyed_log standin_leased_worker
