#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are Python programs that
# need the standard library alone; this checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standins-3/*.py 1[1-5]/*.py <<'EOF'
import sys
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
EOF
