#!/usr/bin/env bash
# Installs, builds, and runs every test.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh
build="${DANDELIONSPUR_BUILD:-build}"
exec python3 meta/run_tests.py "$build"
