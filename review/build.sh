#!/bin/sh
# Builds the stand-ins that the scripts start. They are all Python, run from
# their source with the standard library alone; this checks that they can be
# read and that the deploy file's program is there.
set -e
cd "$(dirname "$0")"
for file in lab.py ./*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
test -x ../target/bin/bluebellraild
