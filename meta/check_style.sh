#!/usr/bin/env bash
# clang-format on all files and clang-tidy on all translation units; both must be clean.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${DANDELIONSPUR_BUILD:-build}"
mapfile -t sources < <(git ls-files '*.h' '*.cc')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cc')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
echo "style: ${#sources[@]} files clean"
