#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
temporary=$(mktemp -d) || exit 2
end() {
    # The program ends its processes itself; what is left here is left by a program that was ended.
    for pid in $(cat "$temporary/pids" 2>/dev/null); do
        kill -9 "$pid" 2>/dev/null
    done
    rm -rf "$temporary"
}
trap end EXIT
trap 'exit 2' INT TERM
REVIEW_FOLDER=$temporary timeout 115 target/review-3/cases "$1" "$2/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
