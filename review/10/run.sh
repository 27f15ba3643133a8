#!/usr/bin/env bash
# A machine is told to end while a client's transaction is open. The transaction has the first half of graceS (6 s) to end.
set -uo pipefail
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"

start_stand
start_fleet 6
stand "cluster huvo11a 0"
stand "server huvo11a i-p $NET.101:5432 zrh-a lead"
stand "server huvo11a i-r1 $NET.102:5432 gva-b"
stand "server huvo11a i-r2 $NET.103:5432 lug-c"
put_config "$(document 7 "$(route r-1 lepu270 primary huvo11a)" "$(backend huvo11a 0)")" 20 ||
  cannot "the configuration was not taken"
wait_ready 3 10 || cannot "no flow is ready"
write_until lepu270 3 "STORE k before" 15 || cannot "no write was served"
sleep 2

session fd 3 lepu270 || cannot "no session"
ask "$fd" "BEGIN"
[ "$STATE" = T ] || cannot "no transaction"
begun=$(now)
[ "$TROUBLE" = 0 ] || signal TERM flow 3
# The client rests for less than txnIdleMs (3 s), and ends its transaction within the first half of graceS.
line=''
IFS= read -r -t 2.85 -u "$fd" line
code=$?
rested=$(($(now) - begun))
if [ $code -le 128 ]; then
  broken "DRAIN: the connection with an open transaction was closed ${rested} ms after SIGTERM (${line%$'\r'})"
fi
ask "$fd" "STORE k inside"
stored=$ANSWER
ask "$fd" "COMMIT"
ended=$(($(now) - begun))
note "stored: $stored, committed: $ANSWER, $ended ms after SIGTERM"
[ $ended -lt 3000 ] || cannot "too slow: the transaction ended only after $ended ms"
[[ $stored == COMPLETE\ * && $ANSWER == COMPLETE\ * ]] ||
  broken "DRAIN: the open transaction could not end $ended ms after SIGTERM: $stored, then $ANSWER"
held "the transaction ended $ended ms after SIGTERM"
