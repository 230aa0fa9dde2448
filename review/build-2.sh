#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs of the
# standard library; this checks that they can be read.
cd "$(dirname "$0")" || exit 2
exec python3 -B - lab2.py [6-9]/case.py 10/case.py <<'END'
import ast, glob, sys
for pattern in sys.argv[1:]:
    for path in glob.glob(pattern):
        ast.parse(open(path).read(), path)
END
