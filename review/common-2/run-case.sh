#!/usr/bin/env bash
# Plays a case of the harness: run-case.sh NUMBER CASE. The exit code is that of the harness: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
record="review/$1/record.txt"
sidecar="$PWD/target/release/dragonflylug-sidecar"
harness="$PWD/target/review-2/harness"
if [ ! -x "$sidecar" ] || [ ! -x "$harness" ]; then
    echo "run the build of the deploy file and review/build-2.sh first" >&2
    exit 2
fi
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR

# Ends what the harness started, in case it was ended itself.
end_processes() {
    kill "$player" 2>/dev/null
    sed -n 's/.*: process \([0-9]*\) started$/\1/p' "$record" 2>/dev/null | while read -r process; do
        if [ "$(readlink "/proc/$process/exe")" = "$sidecar" ]; then
            kill -9 "$process" 2>/dev/null
        fi
    done
    rm -rf "$TMPDIR"
}

timeout 118 "$harness" "$2" "$sidecar" "$record" &
player=$!
trap end_processes EXIT
trap 'exit 2' INT TERM
wait "$player"
code=$?
if [ "$code" -gt 2 ]; then
    code=2
fi
exit "$code"
