#!/usr/bin/env bash
# Checks that the platform's names, paths and headers occur only in platform/, the tests and the stand-ins that simulate
# the platform, and that platform/ stays within its line limit.
set -euo pipefail
cd "$(dirname "$0")/.."
maximum_lines=1500
words='/-/|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|run-(start|stop)|Instances\.(Heartbeat|Leave)|X-(Deadline-Ms|Expect-Instance|Duty-Holder|Fence-Token)|"(best_effort|mem_mb|last_seen|schema_version|expected_rev|cold_left_ms|heartbeat_addr|max_attempts|estimate_ms|target_latency_ms|clock_ms)"'
found="$(git ls-files 'libraries/*' 'services/*' 'utilities/dandelionspur/*' 'utilities/load/*' | xargs grep -nE "$words" || true)"
if [ -n "$found" ]; then
  printf 'names of the platform outside platform/:\n%s\n' "$found"
  exit 1
fi
lines="$(git ls-files 'platform/*.h' 'platform/*.cc' | xargs cat | wc -l)"
if [ "$lines" -gt "$maximum_lines" ]; then
  echo "platform/ has $lines lines; $maximum_lines are the most"
  exit 1
fi
echo "platform: $lines lines, its names nowhere else"
