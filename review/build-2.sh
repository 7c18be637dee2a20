#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 6 to 10 start: one Python
# module, review/standins-2/lab.py, on the standard library alone. It is only
# checked here (nothing is written); the forwarders come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || {
    echo "review/build-2.sh: python3 of version 3.8 or later is missing" >&2
    exit 1
}
for file in review/standins-2/lab.py review/{6,7,8,9,10}/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
