#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. They are Python programs that need only the
# standard library, so that it is enough to compile them once.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q kit_2.py 6 7 8 9
