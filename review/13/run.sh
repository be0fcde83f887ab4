#!/bin/sh
# The one minion with a label is lost for good. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" held-minions review/13
