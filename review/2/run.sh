#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/boragegate-edge ] && [ -x target/review-stand ] || exit 2
logs=$(mktemp -d) || exit 2
trap 'rm -rf "$logs"' EXIT
RECORD="$here/record.txt" target/review-stand leaving "$logs" target/boragegate-edge
