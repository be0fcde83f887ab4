#!/usr/bin/env bash
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/goldcrest-entry ] && [ -x target/review/release/review-case ] || { echo "build first: review/build.sh and the deploy file"; exit 2; }
exec target/review/release/review-case idle-lease review/1
