#!/usr/bin/env bash
# The stand-ins and scripts are plain JavaScript for Node.js without dependencies: there is nothing to compile, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
