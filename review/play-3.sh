#!/bin/sh
# Plays the case $1 of review/rig-3 and records it in the folder $2. Needs the build of the deploy file and
# review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Ends all
# processes that it started, also if it is ended itself.
cd "$(dirname "$0")/.." || exit 2
rig=review/rig-3/target/release/rig-3
[ -x "$rig" ] && [ -x target/release/chivelatch-platform ] || exit 2
RIG_PROCESSES=$(mktemp) || exit 2
export RIG_PROCESSES
"$rig" "$1" "$2" &
player=$!
stop() {
    kill -s KILL "$player"
    while read -r id; do kill -s KILL "$id" 2>/dev/null; done <"$RIG_PROCESSES"
    rm -f "$RIG_PROCESSES"
}
trap 'stop; exit 2' INT TERM HUP
wait "$player"
code=$?
rm -f "$RIG_PROCESSES"
exit "$code"
