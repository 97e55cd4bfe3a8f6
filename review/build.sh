#!/bin/sh
# Checks the stand-ins of the review; they need Python's standard library only.
set -eu
cd "$(dirname "$0")/lib"
for module in *.py; do
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$module"
done
