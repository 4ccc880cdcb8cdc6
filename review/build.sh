#!/bin/bash
# Builds the scripts of the cases and their stand-ins, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
rm -rf out/review-cases
node node_modules/typescript/bin/tsc -p review/tsconfig.json
