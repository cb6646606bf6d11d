#!/usr/bin/env bash
# Measures the slopes that docs/CAPACITY.md is worked out from, and writes one JSON file (default: docs/slopes.json).
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh
exec python3 meta/measure_slopes.py "${1:-docs/slopes.json}"
