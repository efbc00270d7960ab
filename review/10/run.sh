#!/bin/sh
# Starts a replica that preempts a stream during a planned stop of the stream's entry instance.
# TROUBLE=0: the replica has memory enough and preempts nothing; the stop is the same.
# ATTEMPTS=1: without a second attempt; it holds. WAY=release: a trial outside the limit of release, not part of the case.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stage-3/target/release/stage-3" silence "$here/../.." "$here"
