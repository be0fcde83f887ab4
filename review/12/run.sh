#!/bin/sh
# A queue gets another name while its jobs are known. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" renamed-queue review/12
