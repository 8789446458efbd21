#!/usr/bin/env bash
# Runs one family of benchmarks: run.sh BUILD_DIR [policy|decisions|capacity|plot]
set -euo pipefail
build=$1
kind=${2:-policy}
out=$build/bench
mkdir -p "$out"
case "$kind" in
policy) "$build/benchmarks/policy/policy_bench" "$out/policy.csv" "${3:-90}" "${4:-0.9}" ;;
decisions)
    "$build/benchmarks/decisions/decision_bench" --benchmark_out="$out/decisions.json"
    "$build/benchmarks/decisions/coordinator_bench" --benchmark_out="$out/coordinator.json"
    ;;
capacity) "$build/benchmarks/capacity/capacity_bench" "$out/capacity.csv" "${@:3}" ;;
plot) gnuplot -e "csv='$out/policy.csv'; svg='docs/policy.svg'" benchmarks/policy/plot.gp ;;
*) echo "usage: run.sh BUILD_DIR policy|decisions|capacity|plot" >&2; exit 2 ;;
esac
