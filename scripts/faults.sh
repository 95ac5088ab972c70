#!/usr/bin/env bash
# Runs a load plan with faults against a deployment of separate processes, and prints the load tool's report.
#
#   scripts/faults.sh PLAN [FOLDER] [LAYOUT OPTION...]
#
# FOLDER takes settings, logs and reports of the run; without one a new folder under the temporary folder is made.
# The load tool starts and signals no process: this script carries out the plan's actions on processes beside it, at times
# counted from the beginning that the tool writes to FOLDER/faults/begin, and notes them in FOLDER/faults/done.
set -euo pipefail

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly BEGIN_SECONDS=120

fail() {
    echo "faults.sh: $*" >&2
    exit 1
}

processes() {
    local action=$1
    shift
    "$root/scripts/processes.sh" "$action" "$folder" "$@"
}

now_millis() {
    date +%s%3N
}

note() {
    echo "$(now_millis) $1 $2" >>"$folder/faults/done"
}

await_begin() {
    local deadline=$((SECONDS + BEGIN_SECONDS))
    until [[ -s "$folder/faults/begin" ]]; do
        ((SECONDS < deadline)) || fail "the load did not begin within $BEGIN_SECONDS s"
        kill -0 "$load" 2>/dev/null || fail "the load ended before it began"
        sleep 0.05
    done
}

sleep_until() {
    local millis=$(($1 - $(now_millis)))
    if ((millis > 0)); then
        sleep "$((millis / 1000)).$(printf '%03d' $((millis % 1000)))"
    fi
}

# Ends a process and notes its end, which bounds the time in which a closed connection counts as a cut request.
stop() {
    processes stop-one "$2" "$1"
    note ended "$2"
}

carry_out() {
    local what=$1 name=$2
    note "$what" "$name"
    case "$what" in
        pause) processes signal-one "$name" STOP ;;
        resume) processes signal-one "$name" CONT ;;
        kill) stop KILL "$name" & stops[$name]=$! ;;
        terminate) stop TERM "$name" & stops[$name]=$! ;;
        start)
            wait "${stops[$name]:-}" || true
            processes start-one "$name"
            ;;
        *) fail "unknown action $what" ;;
    esac
}

(($# >= 1)) || fail "usage: faults.sh PLAN [FOLDER] [LAYOUT OPTION...]"
plan=$1
folder=${2:-$(mktemp -d)/run}
shift $(($# >= 2 ? 2 : 1))
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
declare -A stops=()

steps=$("$root/bin/chivetally" load --print-process-faults "$plan")
trap '"$root/scripts/processes.sh" stop "$folder"' EXIT
processes start "$@"
mkdir -p "$folder/faults"
rm -f "$folder/faults/begin" "$folder/faults/done"

"$root/bin/chivetally" load --targets "$folder/targets.yaml" --faults-folder "$folder/faults" \
    --json "$folder/report.json" "$plan" &
load=$!
await_begin
begin=$(<"$folder/faults/begin")
while read -r millis what name; do
    [[ -n "${name:-}" ]] || continue
    sleep_until $((begin + millis))
    carry_out "$what" "$name"
done <<<"$steps"

result=0
wait "$load" || result=$?
echo "settings, logs and the notes of what was done are in $folder"
exit "$result"
