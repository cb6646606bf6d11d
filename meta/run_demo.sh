#!/usr/bin/env bash
# Installs, builds, starts a small cluster on loopback, runs jobs, and prints a summary; the last line is JSON.
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh
exec python3 meta/demo.py
