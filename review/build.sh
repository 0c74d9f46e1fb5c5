#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. They are Python without dependencies, so that there is only to check.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
for f in standins/*.py [1-5]/*.py; do
  [ ! -f "$f" ] || python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
