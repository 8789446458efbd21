#!/usr/bin/env bash
# Builds the stand-ins that the scripts under review/ start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review >/dev/null
cmake --build target/review -j "$(nproc)"
