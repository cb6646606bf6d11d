#!/usr/bin/env bash
# Fuzzes the protocol for SECONDS with new, printed seeds; a failing run prints its log and its seed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds="${1:?usage: meta/fuzz.sh SECONDS}"
build="${DANDELIONSPUR_BUILD:-build}"
for topology in "3 2" "4 3" "2 2"; do
  read -r entries agents <<<"$topology"
  "$build/tests/protocol_fuzz" --entries "$entries" --agents "$agents" --seconds "$((seconds / 3))"
done
