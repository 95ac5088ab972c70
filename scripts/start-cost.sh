#!/usr/bin/env bash
# Measures the processor time per start by role: runs a load plan at several loads against separate processes and fits, for
# each role, a line to the processor time as a function of the starts per second.
#
#   scripts/start-cost.sh PLAN FOLDER [SHARE...]
#
# FOLDER receives the reports and start-cost.md. The slope of a line is the cost of a start, the intercept the cost of an idle
# process. Each SHARE is a fraction of the slots.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly DURATION=40

(($# >= 2)) || {
    echo "usage: start-cost.sh PLAN FOLDER [SHARE...]" >&2
    exit 1
}
plan=$1
mkdir -p "$2"
folder=$(cd "$2" && pwd)
shift 2
(($# > 0)) || set -- 0.1 0.25 0.5 0.8

trap '"$root/scripts/processes.sh" stop "$folder/run"' EXIT
"$root/scripts/processes.sh" start "$folder/run" >/dev/null

# Prints for each role of a report: role, number of processes, processor time per second in seconds, starts per second.
figures() {
    awk -v duration="$DURATION" '
        /"starts" :/ { gsub(/[^0-9]/, ""); starts = $0 }
        /"roles" :/ { inside = 1; next }
        inside && /" : \{/ { gsub(/[" :{]/, ""); role = $0 }
        inside && /"processes"/ { gsub(/[^0-9]/, ""); processes = $0 }
        inside && /"processorSeconds"/ {
            gsub(/[^0-9.E-]/, "", $3)
            print role, processes, $3 / duration, starts / duration
        }
        /"violations"/ { inside = 0 }' "$1"
}

# Runs the plan at a share of the slots and writes its report to the folder.
run_at() {
    local share=$1
    sed -e "s/slotShare: [0-9.]*/slotShare: $share/" -e "s/^duration: .*/duration: ${DURATION}s/" \
        -e '/^goals:/,$d' "$plan" >"$folder/plan-$share.yaml"
    "$root/bin/chivetally" load --targets "$folder/run/targets.yaml" --processes "$folder/run" \
        --json "$folder/report-$share.json" "$folder/plan-$share.yaml" >"$folder/report-$share.txt" 2>/dev/null || true
}

# The first run only warms up the JIT compiler, whose work would otherwise count towards the first measured share.
run_at 0.5
for share in "$@"; do
    run_at "$share"
    figures "$folder/report-$share.json"
done >"$folder/figures"

{
    echo "| role | processes | starts a second | share of a core, each process |"
    echo "| --- | --- | --- | --- |"
    awk '{ printf "| %s | %d | %.1f | %.4f |\n", $1, $2, $4, $3 / $2 }' "$folder/figures" | sort
    echo
    awk '{
            role = $1; n[role]++; count[role] = $2
            x[role] += $4; y[role] += $3; xx[role] += $4 * $4; xy[role] += $4 * $3
        }
        END {
            for (role in n) {
                slope = (n[role] * xy[role] - x[role] * y[role]) / (n[role] * xx[role] - x[role] ^ 2)
                rest = (y[role] - slope * x[role]) / n[role] / count[role]
                printf "- %s: %.0f us for each start, and %.2f%% of a core for each process without any\n",
                    role, slope * 1e6, rest * 100
            }
        }' "$folder/figures" | sort
} >"$folder/start-cost.md"
cat "$folder/start-cost.md"
