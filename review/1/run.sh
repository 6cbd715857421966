#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/baobabvane target/review/release/review-case; do
    [ -x "$program" ] || { echo "$program has not been built"; exit 2; }
done
target/review/release/review-case interim-responses review/1/record.txt
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
