#!/bin/bash
# Prepares the stand-ins of the cases 6 to 10. They are Python scripts without dependencies, so that there is
# nothing to build; this checks that they can be started.
set -e
cd "$(dirname "$0")"
for script in standins-2/*.py [0-9]*/case.py; do
    case "$script" in
    [1-5]/*) continue ;;
    esac
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$script"
done
