#!/usr/bin/env bash
# A primary crashes while one replica is leaving and the other has received nothing for a while.
# TROUBLE=0: the same without the deaf replica and the crash. PLANNED=evacuate: the zone of the first
# replica is emptied instead; PLANNED=none: nothing is planned, and the rule holds.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../fleet.sh"
fleet
document 1 primary
play "${RECORD:-$here/record.txt}" 1 scenario=loss planned="${PLANNED:-drain}"
exit $?
