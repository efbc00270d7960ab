#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 plays the same without the disruption.
set -- revived review/5
. "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh"
