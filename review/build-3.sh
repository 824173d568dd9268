#!/bin/sh
# Builds what the scripts in review/11 and the following folders start beside the nodes.
# The stand-ins run in the process of each script and use Python's standard library only,
# so there is nothing to install; this checks that they can be loaded.
set -e
here=$(cd "$(dirname "$0")" && pwd)
cd "$here"
python3 -B -c "import kit_3"
