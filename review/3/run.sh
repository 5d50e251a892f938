#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case_dir=$(cd "$(dirname "$0")" && pwd)
cd "$case_dir/../.." || exit 2
. bin/java-home.sh || exit 2
[ -d target/review ] && [ -d target/image ] || { echo "build first" >&2; exit 2; }
timeout -k 2 115 "$JAVA_HOME/bin/java" -cp target/review EndOfGrace "$case_dir"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
