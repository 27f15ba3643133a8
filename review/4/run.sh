#!/usr/bin/env bash
# A route is moved to another service and back at once, while a session goes on. TROUBLE=0: it stays.
# GAP: pause between the two changes, in ms. LAG: how far replicas are behind, in ms.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../fleet.sh"
fleet
document 0 owned wuno96b
play "${RECORD:-$here/record.txt}" 0 scenario=moved second=wuno96b lag="${LAG:-60}" gap="${GAP:-0}" \
  others="$net.21:9001,$net.22:9001,$net.23:9001"
exit $?
