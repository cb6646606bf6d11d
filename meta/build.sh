#!/usr/bin/env bash
# Installs missing packages and builds everything into build/ (or $DANDELIONSPUR_BUILD).
set -euo pipefail
cd "$(dirname "$0")/.."
meta/install_dependencies.sh
build="${DANDELIONSPUR_BUILD:-build}"
cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" >"$build/build.log" || { tail -50 "$build/build.log"; exit 1; }
