# Sourced by the run.sh of a case: plays `$1` and records it in the folder `$2`. Ends all processes that
# it started. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
driver=review/standins/target/release/review-standins
if [ ! -x "$driver" ] || [ ! -x target/release/chivelatch-platform ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
"$driver" "$1" "$2/record.txt" &
player=$!
stop() {
    kill -9 "$player" 2>/dev/null
    while read -r pid || [ -n "$pid" ]; do kill -9 "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
}
trap 'stop; rm -f "$REVIEW_PIDS"; exit 2' INT TERM HUP
wait "$player"
code=$?
stop
rm -f "$REVIEW_PIDS"
exit "$code"
