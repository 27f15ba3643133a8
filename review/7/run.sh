#!/usr/bin/env bash
# Two of the three machines with a disk go and return one after the other, with their disks, and the third loses its
# disk meanwhile: one disk is lost in all. What was acknowledged before must be there once all three are back.
set -uo pipefail
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-2.sh"

# The number of machines that machine 1 takes for the chain, by the product's own interface; only for the right moment.
chain_length() {
  http "$(machine 1):7442" GET /view
  BODY=${BODY#*\"chain\":[}
  BODY=${BODY%%]*}
  [ -n "$BODY" ] && CHAIN=$(($(tr -cd , <<<"$BODY" | wc -c) + 1)) || CHAIN=0
}

config() {
  document "$1" "$(route r-1 lepu270 primary huvo11a)" "$(backend huvo11a 0)"
}

start_fleet 3
put_config "$(config 7)" 20 || cannot "the configuration was not taken"
sleep 3
if [ "$TROUBLE" != 0 ]; then
  signal KILL accord 0
  sleep 2.3
fi
put_config "$(config 8)" 10 || cannot "the second configuration was not taken"
acknowledged=$(now)
if [ "$TROUBLE" != 0 ]; then
  # Machine 2 goes, and machine 0 returns with its disk.
  signal KILL accord 2
  gone=$(now)
  sleep 0.3
  start accord 0 false
  for _ in $(seq 200); do
    chain_length
    [ "$CHAIN" = 1 ] && break
    sleep 0.01
  done
  note "machine 1 takes $CHAIN machines for the chain"
  # Machine 1 loses its disk: it starts again at its old address with an empty folder and bootstrap false.
  signal KILL accord 1
  until ended accord 1; do sleep 0.01; done
  rm -rf "$TMP/data-1"
  note "the disk of machine 1 is lost"
  sleep 1
  start accord 1 false
  until [ "$(now)" -ge $((gone + 3000)) ]; do sleep 0.05; done
  start accord 2 false
fi
back=$(now)
note "all three machines are up"
# recoveryS is 12 s; the operator reads again and again from then on, for twice contactMs (5 s).
sleep 12
read_from=$(now)
reads=0 newest=0
while [ "$(now)" -lt $((read_from + 10000)) ]; do
  http "$(machine $((reads % 3))):8782" GET /v1/config
  revision=${BODY#*\"revision\":}
  revision=${revision%%,*}
  note "GET /v1/config at machine $((reads % 3)): $CODE ${revision:0:60}"
  reads=$((reads + 1))
  if [ "$CODE" = 200 ]; then
    newest=$revision
    break
  fi
  sleep 0.3
done
if [ $newest = 0 ]; then
  put_config "$(config 9)" 10
  note "a further configuration: taken $?"
fi
for i in 0 1 2; do
  ! ended accord "$i" || cannot "accord $i has ended"
done
since=$((($(now) - back) / 1000))
[ $newest != 0 ] || broken "CONFIG: $since s after all three machines are back none of $reads reads was answered; revision 8 was acknowledged"
[ $newest -ge 8 ] || broken "CONFIG: revision $newest was read back, 8 was acknowledged $((($(now) - acknowledged) / 1000)) s ago"
held "revision $newest was read back"
