#!/usr/bin/env bash
# Builds the stand-ins and the driver of the review's scripts; needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline
