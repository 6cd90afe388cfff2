#!/usr/bin/env bash
# Builds what the scripts of 6 to 10 start besides the platform's build. Their stand-ins (harness-2) are plain JavaScript without
# packages, so they are only checked here.
cd "$(dirname "$0")" || exit 1
for file in harness-2/*.cjs 6/*.cjs 7/*.cjs 8/*.cjs 9/*.cjs 10/*.cjs; do
    node --check "$file" || exit 1
done
