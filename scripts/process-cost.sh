#!/usr/bin/env bash
# Prints what the first jobs after a start cost an entry and an agent in processor time.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
export JAVA_HOME
mvn --batch-mode -q -DskipTests -pl platform -am test-compile
class_path=$(mktemp)
trap 'rm "$class_path"' EXIT
mvn --batch-mode -q -pl wire,library,platform -DskipTests test-compile dependency:build-classpath \
    -Dmdep.outputFile="$class_path" -Dmdep.includeScope=test
"$JAVA_HOME/bin/java" --sun-misc-unsafe-memory-access=allow \
    -cp "platform/target/test-classes:platform/target/classes:$(cat "$class_path")" org.chivetally.platform.ProcessCost
