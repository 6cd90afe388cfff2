#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules of Node.js without dependencies; there is nothing to compile.
# This checks that they parse and that the build of the deploy file is there.
set -eu
cd "$(dirname "$0")"
test -f ../target/hyssophatchd.cjs || { echo "target/hyssophatchd.cjs is missing: run the build of deploy/system.toml first." >&2; exit 1; }
for file in harness-3/*.mjs 1[1-5]/case.mjs; do
    node --check "$file"
done
