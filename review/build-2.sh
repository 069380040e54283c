#!/bin/bash
# Builds the stand-ins of the cases 6 to 10. They are plain JavaScript under review/lib-2 and need only Node, so there is
# nothing to compile; this checks that each file can be parsed.
set -eu
cd "$(dirname "$0")"
for file in lib-2/*.js [0-9]/run.js [0-9][0-9]/run.js; do
	if [ -e "$file" ]; then
		node --check "$file"
	fi
done
