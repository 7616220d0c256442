#!/usr/bin/env bash
# Builds the cases 6 to 10 of the second review and their stand-ins, after the build of the deploy file, whose
# libraries they use. Needs a JDK 17; no network.
set -euo pipefail
cd "$(dirname "$0")/.."
shopt -s nullglob
mkdir -p target/review-2
javac --release 17 -encoding UTF-8 -cp "target/lib/*" -d target/review-2 review/harness-2/*.java review/extra-2/*.java \
    review/6/*.java review/7/*.java review/8/*.java review/9/*.java review/10/*.java
