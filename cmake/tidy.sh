#!/usr/bin/env bash
# Runs clang-tidy over the project's sources (or those named after the build
# folder) and fails on any finding. A file that passed is not linted again
# until it, a file that it includes, its compiler flags, the linter's settings
# or the linter's version change. The build folder must be up to date.
set -euo pipefail
build=$1
shift
if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files '*.cc'); fi
root=$(pwd -P)
passed=${XDG_CACHE_HOME:-$HOME/.cache}/anvilridge-tidy
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir -p "$passed" "$scratch/inputs"
find "$passed" -type f -mtime +30 -delete

# Source and included file, by pairs, as the build has recorded them.
ninja -C "$build" -t deps |
  awk '/^[^ ].*#deps/ {first = 1; next}
       /^    / {if (first) {source = $1; first = 0} print source "\t" $1}' >"$scratch/pairs"
cut -f2 "$scratch/pairs" | sort -u |
  (cd "$build" && xargs -d '\n' sha256sum 2>/dev/null || true) >"$scratch/sums"
# All that decides a file's verdict goes into one file for each.
{ clang-tidy --version && cat .clang-tidy; } | sha256sum >"$scratch/linter"
awk 'NR == FNR {sum[$2] = $1; next} {print $1 "\t" sum[$2]}' \
  "$scratch/sums" "$scratch/pairs" >"$scratch/lines"
awk '/"command":/ {command = $0} /"file":/ {gsub(/.*"file": "|",?$/, ""); print $0 "\t" command}' \
  "$build/compile_commands.json" >>"$scratch/lines"
sed -e "s#^$root/##" -e 's#^\.\./##' "$scratch/lines" | sed -e "s#$root##g" | sort -u |
  awk -F'\t' -v folder="$scratch/inputs/" '{name = $1; gsub("/", ",", name); print $2 >(folder name)}'

# Lints one file and notes when it passes.
lint() {
  local file=$1 input=$scratch/inputs/${1//\//,} key=
  if [ -f "$input" ]; then
    key=$(cat "$input" "$scratch/linter" | sha256sum | cut -d' ' -f1)
    if [ -f "$passed/$key" ]; then
      touch "$passed/$key"
      return 0
    fi
  fi
  echo "$file" >>"$scratch/linted"
  clang-tidy --quiet -p "$build" "$file" 2> >(grep -vE 'warnings (generated|treated)|Suppressed|Use -header-filter|non-user code' >&2) || return 1
  if [ -n "$key" ]; then touch "$passed/$key"; fi
}
export -f lint
export scratch passed build
touch "$scratch/linted"
verdict=0
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint {}' || verdict=1
printf 'linted %s of %s files, the others have not changed since they passed\n' \
  "$(wc -l <"$scratch/linted")" "${#files[@]}"
exit $verdict
