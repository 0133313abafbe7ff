#!/usr/bin/env bash
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-10 ] || exit 2
exec timeout -k 5 110 target/review-2/case-10 review/10
