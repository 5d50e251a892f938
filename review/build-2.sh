#!/usr/bin/env bash
# Compiles the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
. bin/java-home.sh
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/standin-2/*.java
