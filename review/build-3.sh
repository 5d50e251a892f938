#!/bin/sh
# Checks the stand-ins and scripts of review 3. They are Python 3.11 or later with its standard
# library only, so that there is nothing to compile.
set -e
cd "$(dirname "$0")"
python3 - standins-3/*.py 1[1-5]/*.py <<'END'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
print(f"{len(sys.argv) - 1} files checked")
END
