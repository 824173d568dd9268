#!/bin/sh
# The stand-ins of the scripts are plain Python files that need only the standard
# library, so that there is nothing to build; this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
python3 -c "import ast, pathlib
for path in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(path.read_text(), str(path))"
