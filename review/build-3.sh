#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start, after the build of the deploy file. The
# stand-ins are Python programs that use only the standard library: this compiles them, so that a
# fault in them shows here.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/release/dragonflylug-sidecar
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/common-3/*.py review/1[1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
