#!/bin/sh
# A task that lasts crashes each minion that starts it. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" deadly-service review/13
