#!/bin/sh
# A queue moves to another service while its jobs wait. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" moved-queue review/14
