#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library only, so no network is needed.
cd "$(dirname "$0")/rig-3" || exit 2
exec cargo build --release --locked --offline
