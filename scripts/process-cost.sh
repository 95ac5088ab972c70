#!/usr/bin/env bash
# Prints the processor time of an entry and an agent by thread, with the options and archives of the deployment: until the
# process is ready, until the first caller, and for the first 1, 20, 50, 100 and 400 jobs. A last run also logs loaded classes
# by source and compiled methods by package, which increases its times.
#
#   scripts/process-cost.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
export JAVA_HOME
bin/build-platform
class_path=$(mktemp)
trap 'rm "$class_path"' EXIT
mvn --batch-mode -q -pl linkage,wire,library,platform -DskipTests test-compile dependency:build-classpath \
    -Dmdep.outputFile="$class_path" -Dmdep.includeScope=test

# Prints the command line of a role.
command_of() {
    sed -n "/^\[roles.$1\]/,/^\$/s/^run = \"\(.*\)\"/\1/p" deploy/system.toml
}
measure() {
    "$JAVA_HOME/bin/java" --sun-misc-unsafe-memory-access=allow "-Dcost.entry=$(command_of entry)" \
        "-Dcost.agent=$(command_of agent)" "$@" \
        -cp "platform/target/test-classes:platform/target/classes:$(cat "$class_path")" org.chivetally.platform.ProcessCost
}

for ((run = 1; run <= ${1:-1}; run++)); do
    measure
done
measure -Dcost.logs=true
