#!/usr/bin/env bash
# A primary crashes while one replica is leaving and the other has received nothing for a while.
# TROUBLE=0: the same without the deaf replica and the crash. PLANNED=evacuate: the zone of the first
# replica is emptied instead; PLANNED=none: nothing is planned, and the rule holds. NEAR=1: no replica is deaf;
# the first one is 1 ms from the primary, the other one 12 ms.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../fleet.sh"
fleet
document 1 primary
play "${RECORD:-$here/record.txt}" 1 scenario=loss planned="${PLANNED:-drain}" near="${NEAR:-0}"
exit $?
