#!/usr/bin/env bash
# Measures the cost slopes on which docs/CAPACITY.md is based, and writes them to a JSON file (default: docs/slopes.json).
set -euo pipefail
cd "$(dirname "$0")/.."
meta/build.sh
exec python3 meta/measure_slopes.py "${1:-docs/slopes.json}"
