#!/bin/sh
# A tenant's cap is lowered, and tasks come that are larger than it. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" oversized-job review/14
