#!/bin/sh
# Asks for five adapters, one after the other, of a replica whose memory holds four beside its model.
# TROUBLE=0: the demand stays with three adapters.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../../stage-3/target/release/stage-3" sizes "$here/../../.." "$here"
