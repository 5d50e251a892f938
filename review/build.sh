#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start.
set -euo pipefail
cd "$(dirname "$0")/.."
. bin/java-home.sh
mkdir -p target/review
"$JAVA_HOME/bin/javac" -d target/review review/standin/*.java
