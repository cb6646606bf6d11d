#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python without packages, so there is nothing to compile; this
# checks that the interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/services/dandelionspur-entry
test -x ../target/services/dandelionspur-agent
