#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/. It needs the packages of
# deploy/system.toml and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -DCMAKE_BUILD_TYPE=Release -DFULMARWORKS_TESTS=OFF \
    -DCMAKE_PROJECT_fulmarworks_INCLUDE="$PWD/review/standins-2/defer.cmake" >/dev/null
cmake --build build-review-2 --target review_cases -j"${JOBS:-4}"
