#!/bin/sh
# Checks the scripts of cases 6 and 10 and the stand-ins that they start, which are those of the earlier review. They need
# Python's standard library only, so nothing is built.
set -eu
cd "$(dirname "$0")"
for module in 6/*.py 10/*.py 1/standins/*.py; do
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$module"
done
