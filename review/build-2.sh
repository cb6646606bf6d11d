#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemons of the deploy file. Their stand-ins of the store, the
# workers and the clients are Python (review/shared-2/), so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name == "shared-2" or path.parent.name in ("6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
PYTHON
test -x target/services/dandelionspur-entry
test -x target/services/dandelionspur-agent
