#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript in review/lib, so only the build of the deploy file is needed.
set -eu
cd "$(dirname "$0")/.."
test -f target/cli/daemon.js
for file in review/lib/*.js review/[1-9]/*.js; do node --check "$file"; done
