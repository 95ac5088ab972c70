#!/usr/bin/env bash
# Makes an archive of classes for each role beside the packaged jars: entry.jsa and agent.jsa.
#
#   scripts/class-archives.sh JDK FOLDER
#
# FOLDER holds chivetally.jar and its libraries in lib. Each archive comes from a process of its role alone that serves some
# jobs: classes of the other role would only cost time at a start. Its classes are linked already, which saves each process
# work. Logs are beside the archives.
set -euo pipefail
readonly ATTEMPTS=3
java=$1/bin/java
folder=$2

# The options are those of deploy/system.toml that decide what is loaded.
options=(-XX:+UseSerialGC -XX:TieredStopAtLevel=1 --sun-misc-unsafe-memory-access=allow -Dio.netty.jfr.enabled=false
    -Djdk.reflect.useNativeAccessorOnly=true -Djava.lang.invoke.MethodHandle.CUSTOMIZE_THRESHOLD=-1)

# Runs a process of a role, with everything around it in a second one, and leaves the list of its classes.
train() {
    local role=$1 settings=$folder/$1.yaml training_run process result=0
    rm -f "$settings"
    "$java" "${options[@]}" -cp "$folder/chivetally.jar" org.chivetally.platform.TrainingRun "$role" "$settings" &
    training_run=$!
    while [[ ! -e "$settings" ]] && kill -0 "$training_run"; do
        sleep 0.1
    done
    CHIVETALLY_SETTINGS=$settings "$java" "${options[@]}" "-XX:DumpLoadedClassList=$folder/$role.classes" \
        -Xshare:off -Xlog:disable -jar "$folder/chivetally.jar" "$role" &
    process=$!
    wait "$training_run" || result=$?
    kill -TERM "$process" || true
    wait "$process" || true
    return "$result"
}
archive() {
    "$java" "${options[@]}" -Xshare:dump "-XX:SharedClassListFile=$folder/$1.classes" \
        "-XX:SharedArchiveFile=$folder/$1.jsa" -XX:+AOTClassLinking -jar "$folder/chivetally.jar"
}
# A port that was free can be taken until the process listens, so a training run that fails is repeated.
prepare() {
    local attempt
    for ((attempt = 1; attempt <= ATTEMPTS; attempt++)); do
        if train "$1"; then
            archive "$1"
            return
        fi
        echo "event=rehearsal-repeated role=$1 attempt=$attempt"
    done
    return 1
}

rm -f "$folder"/*.jsa "$folder"/*.classes
prepare entry >"$folder/rehearsal-entry.log" 2>&1 &
entry=$!
prepare agent >"$folder/rehearsal-agent.log" 2>&1 &
agent=$!
for role in entry agent; do
    wait "${!role}" || {
        cat "$folder/rehearsal-$role.log" >&2
        exit 1
    }
done
