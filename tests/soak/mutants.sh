#!/usr/bin/env bash
# Mutation test of the soak: applies one mutation at a time to a copy of the sources and checks that the
# soak reports a violation of the expected rule. Run manually; takes a few minutes per mutation.
# Usage: mutants.sh WORK_DIR [RULE...]
set -euo pipefail
work=$(realpath "$1")
shift
root=$(cd "$(dirname "$0")/../.." && pwd)
seeds=6

# rule | file | sed expression
mutations() {
    cat <<'MUTATIONS'
TWICE|libs/scheduler/src/codec.cpp|s/t.phase = task_phase::unverified;/t.phase = task_phase::idle;/
LIMIT|libs/scheduler/src/capacity.cpp|/capacity.free -= booked_resources(\*ref.spec);/d
ORDER|libs/scheduler/src/task_groups.cpp|s/if (!dependencies_complete(j.spec, o, s)) {/if (false) {/
BUDGET|libs/scheduler/src/lifecycle.cpp|s/failures >= ref.owner->spec.policy.max_attempts/failures >= ref.owner->spec.policy.max_attempts + 5/
BUDGET|libs/scheduler/src/worker_loss.cpp|s/++losses.crashes;//; s/losses.start_crashes += cause ? 1 : 0;//; /losses.witnessed_crashes += /d
UNASKED|libs/scheduler/src/task_groups.cpp|s/ && !found->second->ended() &&$/ \&\&/
REFUSED|libs/node/src/caller_api.cpp|s/open->maybe_stored = open->maybe_stored .*/open->maybe_stored = false;/
MIXED|libs/scheduler/src/job.cpp|/bool occurrence::complete/,/^}/s/all_of/any_of/
LOST|libs/node/src/caller_api.cpp|s/if (outcome == platform::store_status::ok) {/if (outcome != platform::store_status::no_answer) {/
MUTATIONS
}

is_selected() { [ $# -eq 1 ] || [[ " ${*:2} " == *" $1 "* ]]; }

mkdir -p "$work"
(cd "$root" && git ls-files -z | tar cf - --null -T -) | (cd "$work" && tar xf -)
cmake -S "$work" -B "$work/build" -G Ninja >/dev/null
missed=0
while IFS='|' read -r rule file expression; do
    is_selected "$rule" "$@" || continue
    sed "$expression" "$root/$file" >"$work/$file"
    cmp -s "$root/$file" "$work/$file" && { echo "$rule: the expression no longer matches $file"; exit 1; }
    if ! ninja -C "$work/build" -j "${JOBS:-4}" --quiet fulmarworks platform_soak >"$work/build.txt" 2>&1; then
        echo "$rule: the mutated source doesn't compile, see $work/build.txt"
        exit 1
    fi
    report="$work/$rule.txt"
    "$work/build/tests/soak/platform_soak" --seed 1 --seeds "$seeds" --worker-crashes >"$report" 2>&1 || true
    if grep -q "$rule" "$report"; then
        echo "$rule: reported, $(grep -m1 "$rule" "$report")"
    else
        echo "$rule: NOT reported in $seeds seeds, see $report"
        missed=1
    fi
    cp "$root/$file" "$work/$file"
done < <(mutations)
exit $missed
