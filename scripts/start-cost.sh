#!/usr/bin/env bash
# Measures the processor time of a start by role: runs a load plan at several loads against separate processes and fits a
# line through the processor time of each role against the starts a second.
#
#   scripts/start-cost.sh PLAN FOLDER [SHARE...]
#
# FOLDER takes the reports and start-cost.md. A line's slope is the cost of a start, its intercept what a process of the
# role uses without any.
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

# Prints role, processes, seconds of processor time a second and starts a second of one report, one role a line.
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

# Runs the plan at a share of the slots and leaves its report in the folder.
run_at() {
    local share=$1
    sed -e "s/slotShare: [0-9.]*/slotShare: $share/" -e "s/^duration: .*/duration: ${DURATION}s/" \
        -e '/^goals:/,$d' "$plan" >"$folder/plan-$share.yaml"
    "$root/bin/chivetally" load --targets "$folder/run/targets.yaml" --processes "$folder/run" \
        --json "$folder/report-$share.json" "$folder/plan-$share.yaml" >"$folder/report-$share.txt" 2>/dev/null || true
}

# The first run only has the processes' code compiled, which would count as a cost of the first share measured.
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
