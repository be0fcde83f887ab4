#!/bin/sh
# Starts of a scheduler that is killed are carried out late. See claim.txt.
exec "$(dirname "$0")/../standins-3/run-case.sh" late-predecessor review/15
