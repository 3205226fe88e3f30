#!/bin/sh
# The stand-ins of the scripts in review/11 to review/13 are Python (3.11 or later, standard library only), and nothing
# has to be compiled. This checks that they can run here.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'PY'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("python3 is older than 3.11")
for path in [*pathlib.Path("standins-3").glob("*.py"), *pathlib.Path().glob("1[1-5]/case.py")]:
    ast.parse(path.read_text(), str(path))
PY
