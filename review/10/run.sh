#!/bin/sh
# Starts a replica that preempts a stream during a planned stop of the stream's entry instance.
# TROUBLE=0: the replica has memory enough and preempts nothing; the stop is the same.
# WAY=release: the servers are not full, but a release has begun. ATTEMPTS=1: without a second attempt; it holds.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stage-3/target/release/stage-3" silence "$here/../.." "$here"
