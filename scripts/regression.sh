#!/usr/bin/env bash
# Scores deployments with the bench, one after the other, and compares the worth of each day with the latest committed score of the
# same deployment and size. With fewer concurrent JOBS the processes get more of the machine; a whole large day requires JOBS = 1.
set -euo pipefail
cd "$(dirname "$0")/.."
if [[ $# -lt 4 ]]; then
    echo "usage: scripts/regression.sh BENCH JOBS small|whole SITE..." >&2
    exit 2
fi
bench=$1
jobs=$2
size=$3
shift 3
case $size in
    small) options=(--small) ;;
    whole) options=() ;;
    *)
        echo "scripts/regression.sh: invalid size $size: must be small or whole" >&2
        exit 2
        ;;
esac

# Prints "DAY WORTH" lines of the latest committed score of a site, or nothing if there is none.
committed() {
    local site=$1
    git ls-files 'journal/*.json' | sort -r | while read -r entry; do
        jq -r --arg site "$site" --arg size "$size" '
            select(.cmd == "score" and (.argv[0] | endswith("/" + $site)))
            | select((.argv | index("--small") != null) == ($size == "small"))
            | .days[] | "\(.name) \(.G)"' "$entry"
    done | awk '!seen[$1]++'
}

if ! command -v jq >/dev/null; then
    echo "scripts/regression.sh: jq is required to read the journal" >&2
    exit 2
fi
for site in "$@"; do
    name=$(basename "$site")
    before=$(committed "$name")
    "$bench" score "$site" "${options[@]}" --jobs "$jobs" --why "regression run" | tee /dev/stderr |
        awk -v before="$before" -v site="$name" '
            BEGIN { split(before, words, /[ \n]/); for (i = 1; i in words; i += 2) old[words[i]] = words[i + 1] }
            $2 ~ /^[0-9]+\/[0-9]+$/ {
                change = $1 in old ? sprintf("%+.3f against %.3f", $4 - old[$1], old[$1]) : "no earlier score"
                printf "%s %s: worth %.3f, %s\n", site, $1, $4, change
            }'
done
