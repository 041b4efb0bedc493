#!/usr/bin/env bash
# Builds the stand-ins of the cases from copies of their sources. Needs Go alone.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out="${REVIEW_BUILD:-${TMPDIR:-/tmp}/carawaybeam-review}"
mkdir -p "$out/src"
rm -f "$out"/src/*
for file in "$here"/standin/*.go.txt; do
  name=$(basename "$file" .txt)
  cp "$file" "$out/src/$name"
done
printf 'module standin\n\ngo 1.26\n' >"$out/src/go.mod"
cd "$out/src"
GOFLAGS=-mod=mod GOWORK=off go build -o "$out/standin" .
