#!/bin/bash
# Checks what the scripts of cases 11 to 15 start beside the product: stand-ins in plain JavaScript, which need no build.
set -e
cd "$(dirname "$0")"
for file in lib-3/*.js 1[1-5]/case.js; do
	node --check "$file"
done
