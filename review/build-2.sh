#!/bin/sh
# Checks the script of case 9 and the stand-ins that it starts, which are those of the earlier review. They need
# Python's standard library only, so nothing is built.
set -eu
cd "$(dirname "$0")"
for module in 9/*.py 1/standins/*.py; do
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$module"
done
