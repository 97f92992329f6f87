#!/bin/sh
# Builds what the cases start beside the programs of the deploy file: their stand-ins, which are Python scripts without
# any dependency, and need no build. This checks that the interpreter can load them.
set -eu
cd "$(dirname "$0")"
python3 -c '
import ast, glob, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11 or later"
for path in glob.glob("common/*.py") + glob.glob("[0-9]/*.py"):
    ast.parse(open(path).read(), path)
'
