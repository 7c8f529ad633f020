#!/bin/bash
# Builds the stand-ins of the second review. They are plain JavaScript and use packages that the project declares, so
# this only checks that each file parses and that their packages and the built program are there.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.js [456]/*.js; do node --check "$file"; done
node --input-type=module -e "import 'cbor-x/decode'; import 'cbor-x/encode'; import 'smol-toml';"
test -f ../target/main.js
