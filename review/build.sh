#!/usr/bin/env bash
# Builds the stand-ins of the cases: the project's own ones, which review/lib/world.mjs loads from dist/.
set -eu
cd "$(dirname "$0")/.."
node_modules/.bin/tsc -p .
