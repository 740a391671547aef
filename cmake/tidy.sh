#!/usr/bin/env bash
# Runs clang-tidy over the project's sources (or those named after the build
# folder) and fails on any finding.
set -euo pipefail
build=$1
shift
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cc'); fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$build" 2> >(grep -vE 'warnings (generated|treated)|Suppressed|Use -header-filter|non-user code' >&2)
