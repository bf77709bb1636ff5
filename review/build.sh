#!/bin/bash
# The stand-ins are plain JavaScript without dependencies; this checks their syntax
# and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")"
test -f ../target/papayarun-node.mjs
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
