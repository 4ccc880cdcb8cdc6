#!/bin/sh
# Builds the cases 11 to 15 and their stand-ins into out/review-3.
cd "$(dirname "$0")/.." || exit 2
exec node node_modules/typescript/bin/tsc -p review/lib-3/tsconfig.json
