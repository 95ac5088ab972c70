#!/usr/bin/env bash
# Starts a deployment of separate processes, runs a load plan with faults against it, and prints what came of it.
#
#   scripts/faults.sh [--plan PLAN] [--seed NUMBER] [--folder FOLDER] [LAYOUT OPTION...]
#
# PLAN is examples/load-faults.yaml by default, FOLDER a new one under the temporary folder; it takes settings, logs,
# requests and the report. LAYOUT OPTIONs go to `chivetally layout`; without any it is --deployment jylland --agent-relays.
# The end is non-zero when a promise was broken, a goal was missed or a planned fault did not come. Only processes that
# were started here are stopped. docs/operations/faults.md describes the table and the plan.
#
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

# Starts a process again once its earlier one has ended; two at one port would leave neither.
start() {
    while [[ -n "${2:-}" ]] && kill -0 "$2" 2>/dev/null; do
        sleep 0.05
    done
    note start "$1"
    processes start-one "$1"
}

# Each step is a job of its own: a process that takes long to end must not delay the faults of others.
carry_out() {
    local what=$1 name=$2
    case "$what" in
        pause | resume | kill | terminate) note "$what" "$name" ;;
        start) ;;
        *) fail "unknown action $what" ;;
    esac
    case "$what" in
        pause) processes signal-one "$name" STOP ;;
        resume) processes signal-one "$name" CONT ;;
        kill) stop KILL "$name" & stops[$name]=$! ;;
        terminate) stop TERM "$name" & stops[$name]=$! ;;
        start) start "$name" "${stops[$name]:-}" & starts+=($!) ;;
    esac
}

# A paused process takes no SIGTERM, and one that is being started would come after the others were stopped.
clean_up() {
    local name
    if [[ -n "$load" ]]; then
        kill "$load" 2>/dev/null || true
    fi
    wait || true
    if [[ -r "$folder/processes" ]]; then
        for name in $(cut -f 1 "$folder/processes"); do
            processes signal-one "$name" CONT
        done
        processes stop
    fi
}

plan=$root/examples/load-faults.yaml
folder=
load=
seed=()
while (($# > 0)); do
    case "$1" in
        --plan) plan=$2 ;;
        --seed) seed=(--seed "$2") ;;
        --folder) folder=$2 ;;
        *) break ;;
    esac
    shift 2
done
layout=("$@")
if ((${#layout[@]} == 0)); then
    layout=(--deployment jylland --agent-relays)
fi
folder=${folder:-$(mktemp -d)/run}
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
declare -A stops=()
declare -a starts=()

steps=$("$root/bin/chivetally" load --print-process-faults "$plan")
trap clean_up EXIT
processes start "${layout[@]}"
mkdir -p "$folder/faults"
rm -f "$folder/faults/begin" "$folder/faults/done"

"$root/bin/chivetally" load --targets "$folder/targets.yaml" --faults-folder "$folder/faults" \
    --json "$folder/report.json" --requests "$folder/requests.jsonl" "${seed[@]}" "$plan" &
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
load=
echo "settings, logs, requests and the notes of what was done are in $folder"
exit "$result"
