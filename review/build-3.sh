#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are Python scripts without dependencies: this checks that they can be run here.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed (tomllib)")
for path in [*pathlib.Path("shared-3").glob("*.py"), *pathlib.Path(".").glob("1[1-5]/*.py")]:
    compile(path.read_text(), str(path), "exec")
END
