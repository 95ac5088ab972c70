#!/usr/bin/env bash
# Checks the guarantees about the configuration on a deployment of separate processes.
#
#   scripts/configuration-check.sh [--changes NUMBER] [FOLDER] [LAYOUT OPTION...]
#
# FOLDER receives settings, logs and responses; the default is a new temporary folder. NUMBER is the number of timed changes,
# 50 by default. Prints one line per step and exits with 1 unless all steps pass. Requires curl and jq.
set -euo pipefail
export LC_ALL=C

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
readonly root
readonly EXAMPLES=$root/examples/resources/jylland
readonly TIMEOUT_SECONDS=40
readonly RACE_ROUNDS=10
readonly P99_GOAL_MILLIS=1000
readonly SECONDS_PER_DAY=86400

changes=50
if [[ "${1:-}" == --changes ]]; then
    changes=$2
    shift 2
fi
folder=${1:-$(mktemp -d)/run}
shift $(($# >= 1 ? 1 : 0))
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)

failures=0
reason=""
note=""
status=""
body=""
entries=()
log=""

# --- steps ---

step() {
    local title=$1 started=$SECONDS
    shift
    reason="" note=""
    if "$@"; then
        echo "pass  $title${note:+: $note} ($((SECONDS - started)) s)"
    else
        echo "fail  $title: ${reason:-see $folder} ($((SECONDS - started)) s)"
        failures=$((failures + 1))
    fi
}

# Sets the reason of a step's failure and returns 1, so that 'condition || fail_step REASON || return 1' ends the step.
fail_step() {
    reason=$*
    return 1
}

# Repeats a command until it succeeds or the timeout has passed.
retry() {
    local deadline=$((SECONDS + TIMEOUT_SECONDS))
    until "$@"; do
        ((SECONDS < deadline)) || return 1
        sleep 0.1
    done
}

# --- requests ---

# Sends a request; sets 'status' to the HTTP status and 'body' to the response. Without a response the status is 000.
request() {
    local method=$1 url=$2 answer
    shift 2
    answer=$(curl --silent --max-time 30 --write-out '\n%{http_code}' --request "$method" \
        --header 'Chivetally-Operator: check' --header 'Content-Type: application/json' "$@" "$url") || true
    status=${answer##*$'\n'}
    body=${answer%$'\n'*}
}

field() {
    jq --raw-output "$1" <<<"$body"
}

team() {
    echo "{\"labels\":{\"owner\":\"check\"},\"spec\":{\"maximumRunning\":$1}}"
}

# Writes a team at an entry, based on a version.
put_team() {
    local entry=$1 name=$2 based_on=$3 most=$4
    request PUT "$entry/v1/teams/$name?basedOn=$based_on" --data-binary "$(team "$most")"
}

set_faults() {
    request PUT "$log/faults" --data-binary "$1"
    [[ "$status" == 200 ]] || fail_step "the log stand-in rejected the faults: $body"
}

version_at() {
    request GET "$1/v1/configuration/status"
    field '.version // empty'
}

has_version() {
    local version
    version=$(version_at "$1")
    [[ -n "$version" ]] && ((version >= $2))
}

# Prints all resources declared at an entry, without their status, which changes over time.
declared_at() {
    local kind
    for kind in backendservers services teams routings; do
        curl --silent --max-time 10 "$1/v1/$kind" | jq --compact-output '.items[] | del(.status)' || return 1
    done
}

# Waits until all entries have a version, and checks that their resources are equal.
await_agreement() {
    local version=$1 first other entry
    for entry in "${entries[@]}"; do
        retry has_version "$entry" "$version" || fail_step "$entry has no version $version" || return 1
    done
    first=$(declared_at "${entries[0]}")
    for entry in "${entries[@]:1}"; do
        other=$(declared_at "$entry")
        [[ "$other" == "$first" ]] || fail_step "$entry and ${entries[0]} differ" || return 1
    done
}

# Runs the command line against an entry; sets 'status' to the exit code and 'body' to standard output and error.
command_line() {
    local entry=$1
    shift
    status=0
    body=$("$root/bin/chivetally" "$@" --entry "$entry" 2>&1) || status=$?
}

processes() {
    local action=$1
    shift
    "$root/scripts/processes.sh" "$action" "$folder/deployment" "$@"
}

# --- declaring resources ---

applies_examples() {
    command_line "${entries[0]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || fail_step "apply ended with $status: $body" || return 1
    await_agreement "$(version_at "${entries[0]}")" || return 1
    [[ -n "$(declared_at "${entries[2]}")" ]] || fail_step "nothing is declared" || return 1
    note="$(declared_at "${entries[2]}" | wc -l) resources at each entry"
}

applies_nothing_twice() {
    local before
    before=$(version_at "${entries[0]}")
    command_line "${entries[1]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || fail_step "apply ended with $status: $body" || return 1
    [[ "$(version_at "${entries[1]}")" == "$before" ]] || fail_step "the version changed from $before"
}

gets_and_describes() {
    command_line "${entries[1]}" get services
    [[ "$status" == 0 && "$body" == *service/photo-check*in-force* ]] || fail_step "get: $body" || return 1
    command_line "${entries[2]}" describe services photo-check
    [[ "$status" == 0 ]] || fail_step "describe ended with $status: $body" || return 1
    local part
    for part in version: changedBy: changedAt: speculate: ageMillis:; do
        [[ "$body" == *"$part"* ]] || fail_step "describe shows no $part" || return 1
    done
}

bad_folder() {
    mkdir -p "$folder/bad"
    cp "$EXAMPLES"/*.yaml "$folder/bad"
    sed -i 's/weight: 4/weight: 5/' "$folder/bad/teams.yaml"
    printf '%s\n' 'kind: service' 'name: Bad Name' 'spec:' '  idempotent: maybe' '  deadline: 5 parsecs' \
        '  colour: blue' >"$folder/bad/broken.yaml"
}

refuses_bad_folder() {
    local before after place
    before=$(declared_at "${entries[0]}")
    bad_folder
    command_line "${entries[0]}" apply -f "$folder/bad"
    [[ "$status" == 2 ]] || fail_step "apply ended with $status: $body" || return 1
    for place in broken.yaml:2:7 broken.yaml:4:15 broken.yaml:5:13 broken.yaml:6:3; do
        [[ "$body" == *"$place"* ]] || fail_step "no mistake at $place: $body" || return 1
    done
    after=$(declared_at "${entries[0]}")
    [[ "$after" == "$before" ]] || fail_step "something changed"
}

# The command line validates files before it sends them; the entry must reject invalid requests of other clients as well.
entry_refuses_bad_request() {
    local before
    before=$(declared_at "${entries[1]}")
    request POST "${entries[1]}/v1/apply" --data-binary '{"resources":[
        {"kind":"team","name":"fine","spec":{"weight":3}},
        {"kind":"team","name":"duty-rangers","spec":{"weight":0,"size":1}}]}'
    [[ "$status" == 400 ]] || fail_step "HTTP $status: $body" || return 1
    [[ "$(field '[.mistakes[].path] | join(" ")')" == "resources[1].spec.weight resources[1].spec.size" ]] \
        || fail_step "mistakes: $body" || return 1
    [[ "$(field '[.mistakes[].place] | join(" ")')" == "body:3:63 body:3:65" ]] || fail_step "places: $body" || return 1
    [[ "$(declared_at "${entries[1]}")" == "$before" ]] || fail_step "something changed"
}

previews_change_nothing() {
    local before version
    mkdir -p "$folder/preview"
    cp "$EXAMPLES"/*.yaml "$folder/preview"
    sed -i 's/weight: 4/weight: 7/' "$folder/preview/teams.yaml"
    version=$(version_at "${entries[0]}")
    before=$(declared_at "${entries[0]}")
    command_line "${entries[0]}" apply --dry-run -f "$folder/preview"
    [[ "$status" == 0 && "$body" == *duty-rangers*changed* ]] || fail_step "dry run ($status): $body" || return 1
    command_line "${entries[1]}" diff -f "$folder/preview"
    [[ "$status" == 1 && "$body" == *weight*7* ]] || fail_step "diff ($status): $body" || return 1
    [[ "$(version_at "${entries[0]}")" == "$version" ]] || fail_step "the version changed" || return 1
    [[ "$(declared_at "${entries[0]}")" == "$before" ]] || fail_step "something changed"
}

prunes() {
    mkdir -p "$folder/pruned"
    cp "$EXAMPLES"/*.yaml "$folder/pruned"
    rm "$folder/pruned/teams.yaml"
    command_line "${entries[0]}" apply --prune owner=stisporet -f "$folder/pruned"
    [[ "$status" == 0 ]] || fail_step "apply ended with $status: $body" || return 1
    await_agreement "$(version_at "${entries[0]}")" || return 1
    [[ "$(declared_at "${entries[1]}" | grep -c '"kind":"team"' || true)" == 0 ]] || fail_step "teams are left" || return 1
    command_line "${entries[0]}" apply -f "$EXAMPLES"
    [[ "$status" == 0 ]] || fail_step "applying again ended with $status: $body"
}

# --- watching ---

# Makes a change and records the event that a watch must report.
watched_change() {
    local entry=$1 type=$2 name=$3 based_on=$4 most=$5
    if [[ "$type" == deleted ]]; then
        request DELETE "$entry/v1/teams/$name?basedOn=$based_on"
    else
        put_team "$entry" "$name" "$based_on" "$most"
    fi
    [[ "$status" == 20? ]] || fail_step "$type $name at $entry: HTTP $status: $body" || return 1
    latest_version=$(field .version)
    echo "$type $name $latest_version" >>"$folder/watch.expected"
    sleep 0.2
}

ten_changes() {
    local a=${entries[0]} b=${entries[1]} c=${entries[2]} first=0 second=0 third=0
    watched_change "$a" added one 0 1 && first=$latest_version || return 1
    watched_change "$b" added two 0 1 && second=$latest_version || return 1
    watched_change "$c" changed one "$first" 2 && first=$latest_version || return 1
    watched_change "$a" changed two "$second" 2 && second=$latest_version || return 1
    watched_change "$b" deleted one "$first" 0 || return 1
    watched_change "$c" added three 0 1 && third=$latest_version || return 1
    watched_change "$a" added one 0 3 && first=$latest_version || return 1
    watched_change "$b" changed three "$third" 2 && third=$latest_version || return 1
    watched_change "$c" deleted two "$second" 0 || return 1
    watched_change "$a" changed one "$first" 4
}

events() {
    jq --raw-output 'select(.type != "bookmark") | "\(.type) \(.resource.name) \(.version)"' "$1"
}

watches_every_change_once() {
    local from watch middle
    : >"$folder/watch.expected"
    from=$(version_at "${entries[0]}")
    timeout 60 "$root/bin/chivetally" watch teams --entry "${entries[1]}" --from "$from" --count 10 -o json \
        >"$folder/watch.seen" 2>"$folder/watch.notes" &
    watch=$!
    ten_changes || return 1
    wait "$watch" || fail_step "the watch ended with $?: $(<"$folder/watch.notes")" || return 1
    diff "$folder/watch.expected" <(events "$folder/watch.seen") >"$folder/watch.difference" \
        || fail_step "the watch differs, see $folder/watch.difference" || return 1
    # A client that was disconnected after five changes must get the others, without duplicates or gaps.
    middle=$(sed -n '5s/.* //p' "$folder/watch.expected")
    curl --silent --max-time 3 "${entries[2]}/v1/teams?watch=true&from=$middle" >"$folder/watch.resumed" || true
    diff <(tail -n 5 "$folder/watch.expected") <(events "$folder/watch.resumed") >"$folder/watch.difference" \
        || fail_step "the resumed watch differs, see $folder/watch.difference"
}

# Makes more changes in one write than are retained for watches.
overflow_watches() {
    local resources
    resources=$(seq 1100 | sed 's/.*/{"kind":"team","name":"many-&","labels":{"owner":"many"}}/' | paste -s -d ,)
    request POST "${entries[0]}/v1/apply" --data-binary "{\"resources\":[$resources]}"
    [[ "$status" == 200 ]] || fail_step "HTTP $status: $body"
}

reports_version_too_old() {
    overflow_watches || return 1
    await_agreement "$(field .version)" || return 1
    request GET "${entries[1]}/v1/teams?watch=true&from=1"
    [[ "$status $(field .code)" == "410 version-too-old" ]] || fail_step "HTTP $status: $body" || return 1
    command_line "${entries[1]}" watch teams --from 1 --count 3
    [[ "$status" == 0 && "$body" == *"listed team/"* ]] || fail_step "watch ended with $status: $body"
}

# --- conflicts ---

# Two clients write at two entries, based on the same version; sets 'latest_version' to the winner's version.
race() {
    local round=$1 based_on=$2 one two codes winner loser
    curl --silent --write-out '\n%{http_code}' --request PUT --header 'Chivetally-Operator: left' \
        --data-binary "$(team "$((100 + round))")" "${entries[0]}/v1/teams/race?basedOn=$based_on" >"$folder/left" &
    one=$!
    curl --silent --write-out '\n%{http_code}' --request PUT --header 'Chivetally-Operator: right' \
        --data-binary "$(team "$((200 + round))")" "${entries[1]}/v1/teams/race?basedOn=$based_on" >"$folder/right" &
    two=$!
    wait "$one" "$two"
    codes="$(tail -n 1 "$folder/left") $(tail -n 1 "$folder/right")"
    case "$codes" in
        "20"?" 409") winner=left loser=right ;;
        "409 20"?) winner=right loser=left ;;
        *) fail_step "round $round ended with HTTP $codes" || return 1 ;;
    esac
    latest_version=$(head -n 1 "$folder/$winner" | jq .version)
    [[ "$(head -n 1 "$folder/$loser" | jq '.conflicts[0].current')" == "$latest_version" ]] \
        || fail_step "round $round: the conflict of $loser does not name version $latest_version: $(<"$folder/$loser")" || return 1
    [[ "$(head -n 1 "$folder/$loser" | jq --raw-output '.conflicts[0].changedBy')" == "$winner" ]] \
        || fail_step "round $round: the conflict of $loser does not name $winner" || return 1
    wins[$winner]=$((${wins[$winner]} + 1))
}

one_writer_wins() {
    local round
    local -A wins=([left]=0 [right]=0)
    latest_version=0
    for ((round = 1; round <= RACE_ROUNDS; round++)); do
        race "$round" "$latest_version" || return 1
        await_agreement "$latest_version" || return 1
        request GET "${entries[2]}/v1/teams/race"
        [[ "$(field .version)" == "$latest_version" ]] || fail_step "round $round: $body is not the winner's" || return 1
    done
    note="$RACE_ROUNDS races, won by ${wins[left]} and ${wins[right]}"
}

command_line_reports_conflict() {
    mkdir -p "$folder/stale"
    printf '%s\n' 'kind: team' 'name: race' 'spec: {weight: 9}' >"$folder/stale/race.yaml"
    command_line "${entries[0]}" apply --based-on team/race=1 -f "$folder/stale"
    [[ "$status" == 3 && "$body" == *"in version $latest_version"* ]] || fail_step "apply ended with $status: $body"
}

# --- time until changes are in force ---

timed_changes() {
    local number entry sent based_on=0
    : >"$folder/changes"
    for ((number = 0; number < changes; number++)); do
        entry=${entries[number % ${#entries[@]}]}
        sent=$EPOCHREALTIME
        put_team "$entry" pace "$based_on" "$((number + 1))"
        [[ "$status" == 20? ]] || fail_step "change $number at $entry: HTTP $status: $body" || return 1
        based_on=$(field .version)
        echo "$based_on $sent $EPOCHREALTIME" >>"$folder/changes"
    done
    latest_version=$based_on
}

# Prints for each change its version and the milliseconds from its request and from its response until it is in force at
# all given processes. It is in force at a process from the first log line about that version or a later one.
times_to_force() {
    local files=("$@")
    awk -v day="$SECONDS_PER_DAY" '
        FILENAME == ARGV[1] { version[++number] = $1; sent[number] = $2 % day; answered[number] = $3 % day; next }
        FNR == 1 { next_change = 1 }
        /event=configuration-in-force/ {
            split(substr($1, 17, 15), clock, ":")
            at = clock[1] * 3600 + clock[2] * 60 + clock[3]
            match($0, / version=[0-9]+/)
            has = substr($0, RSTART + 9, RLENGTH - 9) + 0
            while (next_change <= number && version[next_change] <= has) {
                for_all(next_change, at)
                next_change++
            }
        }
        function for_all(change, at) {
            reached[change]++
            from_sent = since(sent[change], at); from_answer = since(answered[change], at)
            if (from_sent > slowest[change]) slowest[change] = from_sent
            if (from_answer > slowest_answer[change]) slowest_answer[change] = from_answer
        }
        function since(started, at) { return ((at < started - day / 2) ? at + day - started : at - started) * 1000 }
        END {
            for (change = 1; change <= number; change++)
                if (reached[change] == ARGC - 2)
                    printf "%d %.1f %.1f\n", version[change], slowest[change], slowest_answer[change]
        }' "$folder/changes" "${files[@]}"
}

# Prints median, 99th percentile (nearest rank) and maximum of a column.
percentiles() {
    sort -g -k "$1,$1" | awk -v column="$1" '
        { value[NR] = $column }
        function rank(share) { place = share * NR; return int(place) + (place > int(place)) }
        END { if (NR) printf "p50 %.0f ms, p99 %.0f ms, max %.0f ms", value[rank(0.5)], value[rank(0.99)], value[NR] }'
}

report_times() {
    local what=$1 times=$2 p99
    [[ "$(wc -l <"$times")" == "$changes" ]] \
        || fail_step "only $(wc -l <"$times") of $changes changes came into force at all $what" || return 1
    p99=$(percentiles 2 <"$times" | sed 's/.*p99 \([0-9]*\) ms.*/\1/')
    note="from sending $(percentiles 2 <"$times"); from the answer $(percentiles 3 <"$times"); goal p99 <= $P99_GOAL_MILLIS ms "
    ((p99 <= P99_GOAL_MILLIS)) && note+=met || note+=missed
}

in_force_at_entries() {
    timed_changes || return 1
    await_agreement "$latest_version" || return 1
    times_to_force "$folder"/deployment/entry-*.log >"$folder/times-entries"
    report_times entries "$folder/times-entries"
}

agents_have_version() {
    local entry=$1 version=$2
    request GET "$entry/v1/configuration/status"
    [[ "$(field "[.processes[] | select(.role == \"agent\" and (.version // -1) < $version)] | length")" == 0 ]]
}

in_force_at_all_processes() {
    retry agents_have_version "${entries[0]}" "$latest_version" \
        || fail_step "not at version $latest_version: $(field '[.processes[] | select(.state != "current").process] | join(" ")')" \
        || return 1
    times_to_force "$folder"/deployment/entry-*.log "$folder"/deployment/agent-*.log >"$folder/times-all"
    report_times processes "$folder/times-all"
}

# --- outage of the log ---

reports_write_as_not_written() {
    set_faults '{"down":true}' || return 1
    mkdir -p "$folder/outage"
    printf '%s\n' 'kind: team' 'name: outage' 'spec: {weight: 2}' >"$folder/outage/team.yaml"
    command_line "${entries[0]}" apply -f "$folder/outage"
    [[ "$status" == 4 && "$body" == *log-unavailable*"nothing was written"* ]] \
        || fail_step "apply ended with $status: $body"
    note=$body
}

reads_continue() {
    local entry age
    for entry in "${entries[@]}"; do
        request GET "$entry/v1/teams/race"
        [[ "$status" == 200 ]] || fail_step "$entry: HTTP $status: $body" || return 1
        age=$(field .status.ageMillis)
        ((age > 5000)) || fail_step "$entry reports an age of $age ms during an outage" || return 1
        [[ "$(field .status.state)" == unknown ]] || fail_step "$entry still reports $(field .status.state)" || return 1
    done
    note="age $age ms"
}

usable_with() {
    request GET "$1/v1/configuration/status"
    [[ "$status" == 200 && "$(field .usable)" == true && "$(field .version)" == "$2" ]]
}

restarted_entry_has_newest() {
    local version started=$SECONDS
    version=$(version_at "${entries[0]}")
    processes stop-one entry-3 KILL
    processes start-one entry-3
    retry usable_with "${entries[2]}" "$version" \
        || fail_step "without version $version after $TIMEOUT_SECONDS s: ${body:-no answer}" || return 1
    [[ "$(declared_at "${entries[2]}")" == "$(declared_at "${entries[0]}")" ]] \
        || fail_step "its resources differ from those of its peers" || return 1
    request GET "$log/faults"
    [[ "$(field .down)" == true ]] || fail_step "the log became available in between" || return 1
    note="version $version, $((SECONDS - started)) s after the kill"
    request GET "${entries[2]}/readyz"
    note+="; /readyz answers $status"
}

recovers_after_outage() {
    set_faults '{}' || return 1
    put_team "${entries[2]}" back 0 1
    [[ "$status" == 201 ]] || fail_step "a write at the restarted entry: HTTP $status: $body" || return 1
    await_agreement "$(field .version)" || return 1
    request GET "${entries[1]}/v1/teams/outage"
    [[ "$status" == 404 ]] || fail_step "the write that was reported as not written took effect: $body"
}

write_is_decided() {
    request GET "$1/v1/writes/$2"
    [[ "$(field .state)" == applied || "$(field .state)" == conflict ]]
}

# The log applies each write after the entry's timeout and loses the response; reads are too slow for the entry as well.
resolves_write_with_lost_response() {
    local id entry version
    set_faults '{"lostAnswerShare":1,"lateWriteMillis":5000,"lateDuplicateMillis":1000,"readDelayMillis":15000}' || return 1
    put_team "${entries[0]}" doubt 0 1
    [[ "$status" == 503 && "$(field .code) $(field .certainty)" == "log-unavailable unknown" ]] \
        || fail_step "HTTP $status: $body" || return 1
    id=$(field .writeId)
    set_faults '{}' || return 1
    for entry in "${entries[@]}"; do
        retry write_is_decided "$entry" "$id" || fail_step "$entry does not report an outcome of $id: $body" || return 1
        [[ "$(field .state)" == applied ]] || fail_step "$entry: $body" || return 1
        version=$(field .version)
    done
    await_agreement "$version" || return 1
    curl --silent --max-time 2 "${entries[1]}/v1/teams?watch=true&from=$((version - 1))" >"$folder/doubt" || true
    [[ "$(events "$folder/doubt")" == "added doubt $version" ]] || fail_step "it took effect twice: $(events "$folder/doubt")"
}

# --- status without reports ---

state_is() {
    request GET "$1/v1/backendservers/minion-1"
    [[ "$(field .status.state)" =~ ^($2)$ ]]
}

await_state() {
    local entry
    for entry in "${entries[@]}"; do
        retry state_is "$entry" "$1" || fail_step "$entry does not report the state $1: $(field .status)" || return 1
    done
}

# The status of an idle server must not become unknown between two of its reports.
stays_ready() {
    local entry deadline=$((SECONDS + 8))
    while ((SECONDS < deadline)); do
        for entry in "${entries[@]}"; do
            state_is "$entry" ready || fail_step "$entry reports for an idle server: $(field .status)" || return 1
        done
        sleep 0.1
    done
}

# Declares the backend server of the first agent, based on 'latest_version'.
put_minion() {
    request PUT "${entries[0]}/v1/backendservers/minion-1?basedOn=$latest_version" \
        --data-binary "{\"spec\":{\"service\":\"trail-report-routing\",\"draining\":$1}}"
    [[ "$status" == 20? ]] || fail_step "HTTP $status: $body" || return 1
    latest_version=$(field .version)
}

declared_drain_reaches_agent() {
    latest_version=0
    put_minion true || return 1
    await_state draining || return 1
    put_minion false || return 1
    await_state ready
}

status_is_unknown_without_reports() {
    local started
    stays_ready || return 1
    started=$SECONDS
    processes signal-one agent-1 STOP
    await_state unknown || { processes signal-one agent-1 CONT && return 1; }
    note="unknown at all entries $((SECONDS - started)) s after the agent was suspended"
    started=$SECONDS
    processes signal-one agent-1 CONT
    await_state ready || return 1
    note+=", ready again $((SECONDS - started)) s after it was resumed"
}

# While a process runs, each version in force must be higher than the one before.
versions_only_increase() {
    local steps back
    back=$(sed -n 's/.*event=configuration-in-force version=\([0-9]*\) before=\([0-9]*\).*/\1 \2/p' \
        "$folder"/deployment/*.log | awk '{ steps++; if ($1 <= $2) back++ } END { printf "%d %d", steps, back }')
    read -r steps back <<<"$back"
    ((steps > 0 && back == 0)) || fail_step "$back of $steps changes were to an older version" || return 1
    note="$steps changes at all processes"
}

# --- main ---

start_deployment() {
    processes start "$@" >"$folder/start" 2>&1 || fail_step "see $folder/start" || return 1
    mapfile -t entries <"$folder/start"
    log=$(sed -n 's/.*name: log, url: "\(.*\)".*/\1/p' "$folder/deployment/targets.yaml")
    ((${#entries[@]} == 3)) || fail_step "three entries are required, not ${#entries[@]}"
}

for needed in curl jq; do
    command -v "$needed" >/dev/null || { echo "configuration-check.sh: $needed is not installed" >&2 && exit 1; }
done
trap 'processes stop' EXIT
step "the deployment starts" start_deployment "$@"
((failures == 0)) || exit 1
step "the applied examples are in force at every entry" applies_examples
step "applying the same files again changes nothing" applies_nothing_twice
step "get and describe report specification and status" gets_and_describes
step "a folder with one invalid file is rejected as a whole, with the places of all mistakes" refuses_bad_folder
step "a request with one invalid resource is rejected as a whole by the entry" entry_refuses_bad_request
step "dry run and diff report changes without making them" previews_change_nothing
step "resources that a folder no longer declares are pruned" prunes
step "a watch reports ten changes at three entries exactly once and in order" watches_every_change_once
step "of two writes based on one version one succeeds, and the other gets a conflict with the new version" one_writer_wins
step "the command line reports a conflict" command_line_reports_conflict
step "$changes changes come into force at every entry" in_force_at_entries
step "the same changes come into force at every process" in_force_at_all_processes
step "with the log down a write is reported as not written" reports_write_as_not_written
step "with the log down reads continue and report their age" reads_continue
step "an entry restarted with the log down has the latest configuration of its peers" restarted_entry_has_newest
step "after the outage all entries agree, and the refused write has no effect" recovers_after_outage
step "a write with a lost response is reported as unknown, and later as applied once" resolves_write_with_lost_response
step "a declared drain appears in the status of the server and ends when it is revoked" declared_drain_reaches_agent
step "a status is unknown while its source does not report" status_is_unknown_without_reports
step "a watch from an expired version is rejected, and the command line lists again" reports_version_too_old
step "no process returns to an older version" versions_only_increase
echo "settings, logs and responses are in $folder"
if ((failures > 0)); then
    echo "$failures step(s) failed"
    exit 1
fi
