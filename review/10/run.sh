#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# stutters out.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
timeout -k 2 110 java -cp "target/review-2:target/lib/*" StutteringRunner . "$here/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
