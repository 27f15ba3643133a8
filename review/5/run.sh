#!/usr/bin/env bash
# Two clients use one name, one for an option and one for a prepared statement. TROUBLE=0: two names.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../fleet.sh"
fleet
document 0 primary
play "${RECORD:-$here/record.txt}" 0 scenario=collide
exit $?
