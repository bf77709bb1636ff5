#!/bin/bash
# Prepares the stand-ins that the scripts of cases 11 to 15 start. They are plain
# modules that need only Node.js, so this checks each one. Run it after the build
# of the deploy file.
cd "$(dirname "$0")" || exit 2
for file in stand_ins_3/*.mjs 1[1-5]/case.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
[ -e ../target/papayarun-node.mjs ] || {
  echo 'target/papayarun-node.mjs is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
echo 'stand-ins of review 3: checked'
