#!/bin/sh
# The stand-ins of cases 6 to 10 need only Python's standard library: nothing
# is installed, they are only checked to compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins-2/*.py review/[6-9]/case.py review/10/case.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
