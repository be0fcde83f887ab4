#!/usr/bin/env bash
# Checks the stand-ins of the second review: review/standins-2 and the scripts in review/6 to review/10. They need CPython 3.9 or
# later and its standard library only; there is nothing to compile, and none of the project's own stand-ins is used.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
for file in standins-2/*.py {6,7,8,9,10}/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; assert sys.version_info >= (3, 9); ast.parse(open(sys.argv[1]).read())' "$file"
done
