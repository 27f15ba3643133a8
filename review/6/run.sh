#!/usr/bin/env bash
# A replica ends as planned and a server of another service comes at its address, while the other replica receives
# nothing; the primary crashes. An acknowledged commit must not be missing from the log of the server that is promoted.
set -uo pipefail
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"

start_stand
start_fleet 6
stand "cluster huvo11a 1"
stand "server huvo11a i-p $NET.101:5432 zrh-a lead"
stand "server huvo11a i-r1 $NET.102:5432 gva-b"
stand "server huvo11a i-r2 $NET.103:5432 lug-c"
stand "cluster wuno96b 0"
stand "server wuno96b i-b1 $NET.104:5432 gva-b lead"
stand "server wuno96b i-b2 $NET.105:5432 lug-c"

put_config "$(document 7 "$(route r-1 lepu270 primary huvo11a),$(route r-2 xapu221 primary wuno96b)" \
  "$(backend huvo11a 1),$(backend wuno96b 0)")" 20 || cannot "the configuration was not taken"
wait_ready 3 10 || cannot "no flow is ready"
write_until lepu270 3 "STORE k before" 15 || cannot "no write was served"
sleep 3

if [ "$TROUBLE" != 0 ]; then
  stand "drain i-r1"
  for _ in $(seq 60); do
    stand "drained i-r1"
    [ "$SAID" = true ] && break
    sleep 0.1
  done
  [ "$SAID" = true ] || cannot "the leaving server got no acknowledgement"
  sleep 5.5
  # The trouble: the other replica receives nothing for 7 s, and the primary crashes meanwhile.
  stand "deaf i-r2 1"
  deaf_until=$(($(now) + 7000))
fi
write_until lepu270 3 "STORE k acknowledged" 4 || cannot "the write was not acknowledged"
if [ "$TROUBLE" != 0 ]; then
  sleep 1.6
  stand "delete i-r1"
  stand "end i-r1"
  sleep 2.2
  stand "server wuno96b i-b3 $NET.102:5432 gva-b"
  for _ in $(seq 30); do
    stand "beaten i-b3"
    [ "$SAID" = true ] && break
    sleep 0.05
  done
  [ "$SAID" = true ] || cannot "the new server got no acknowledgement"
  sleep 0.2
  [ "$(now)" -lt "$deaf_until" ] || cannot "too slow: the replica would hear again before the crash"
  stand "crash i-p"
  crashed=$(now)
  until [ "$(now)" -ge "$deaf_until" ]; do sleep 0.05; done
  stand "deaf i-r2 0"
  # The primary returns with its log after 6.5 s.
  until [ "$(now)" -ge $((crashed + 6500)) ]; do
    stand "lead huvo11a"
    if [ "$SAID" != i-p ]; then break; fi
    sleep 0.05
  done
  stand "lead huvo11a"
  promoted=$SAID
  stand "log $promoted"
  note "leads: $promoted; $SAID"
  sleep 1
  until [ "$(now)" -ge $((crashed + 6500)) ]; do sleep 0.05; done
  stand "back i-p"
  sleep 2
fi
stand "lead huvo11a"
lead=$SAID
stand "log $lead"
note "at the end $lead leads; $SAID"
write_until lepu270 3 "STORE other after" 20 || note "no write was served at the end"
session fd 3 lepu270 && ask "$fd" "FETCH k"
if [[ " $SAID " != *" acknowledged "* ]]; then
  broken "LOST: $lead was promoted, and its log lacks the write that was acknowledged ($SAID); a client now reads: $ANSWER"
fi
held "$lead leads, $SAID"
