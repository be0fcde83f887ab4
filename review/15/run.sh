#!/bin/sh
# Tasks that last fail now and then. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" failing-service review/15
