#!/bin/sh
# Checks the scripts and stand-ins of the review. They need Python's standard library
# only; the stand-ins that all cases use are in 1/standins.
set -eu
cd "$(dirname "$0")"
for module in [1-5]/*.py 1/standins/*.py; do
    python3 -S -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$module"
done
