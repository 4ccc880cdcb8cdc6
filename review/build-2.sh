#!/bin/sh
# Builds the stand-ins and scripts of the cases in review/6 to review/10, after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p review/tsconfig-2.json
