# Runs the program of a case; the first argument is the number of the case.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/release/dragonflylug-sidecar ] || { echo "build the deploy file first"; exit 2; }
[ -x "target/review/case-$1" ] || { echo "run review/build.sh first"; exit 2; }
scratch=$(mktemp -d) || exit 2
touch "$scratch/processes"
program=
end() {
    [ -z "$program" ] || kill -9 "$program" 2>/dev/null
    for process in $(cat "$scratch/processes"); do
        case $(tr '\0' ' ' 2>/dev/null < "/proc/$process/cmdline") in
            *dragonflylug-sidecar*) kill -9 "$process" 2>/dev/null ;;
        esac
    done
    rm -rf "$scratch"
}
trap 'end; exit 2' INT TERM
"target/review/case-$1" "review/$1" "$scratch" &
program=$!
wait "$program"
status=$?
program=
end
[ "$status" -le 2 ] || status=2
exit "$status"
