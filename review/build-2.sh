#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. Needs no network.
set -e
cd "$(dirname "$0")/stage-2"
exec cargo build --release --locked --offline
