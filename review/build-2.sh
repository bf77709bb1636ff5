#!/usr/bin/env bash
# The stand-ins of review/7 and later are plain Node.js modules in review/lib-2: nothing is
# compiled. This checks that they can be loaded and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib-2/*.mjs review/{7,8,9,10}/*.mjs; do
  [ -e "$file" ] && node --check "$file"
done
[ -e target/papayarun-node.mjs ] || {
  echo 'target/papayarun-node.mjs is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
