#!/usr/bin/env bash
# Compiles the stand-ins of the review's scripts to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-jdk)
mkdir -p target/review
"$JAVA_HOME/bin/javac" -Xlint:-options -d target/review review/*.java
