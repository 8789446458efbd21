#!/usr/bin/env bash
# Builds the stand-ins and cases of review/11 to review/15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review-3 -j"$(nproc)"
