#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
. bin/java-home.sh || exit 2
"$JAVA_HOME/bin/java" -cp target/review-2 Poison review/8 "${TROUBLE:-1}" /stream/poison
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
