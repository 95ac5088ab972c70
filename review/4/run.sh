#!/usr/bin/env bash
# Plays the case in this folder and writes record.txt. Exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -e target/chivetally.jar ] || { echo "build first: bin/build-platform, review/build-2.sh"; exit 2; }
exec target/jdk/bin/java -cp target/review-2 SecondReview cut-minions review/4
