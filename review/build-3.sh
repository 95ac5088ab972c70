#!/usr/bin/env bash
# Compiles the stand-ins and cases of the third review into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
target/jdk/bin/javac -Xlint:all -Xlint:-processing -d target/review-3 -cp 'target/lib/*' \
    review/9/standins/*.java review/{9,10,11,12,13}/*.java
