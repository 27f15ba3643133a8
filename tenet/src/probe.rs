use crate::base::*;
use crate::colleagues::*;
use crate::wire::{Msg, Summary};

impl Colleagues {
    fn probe(&mut self, now: Time, id: NodeId, addr: Addr, send: &mut Vec<(Addr, Msg)>) {
        self.seq += 1;
        let news = self.news();
        send.push((
            addr,
            Msg::Probe {
                seq: self.seq,
                news,
            },
        ));
        self.open.push(Open {
            seq: self.seq,
            id,
            addr,
            at: now,
            helped: false,
        });
    }

    pub fn tick(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) -> Time {
        self.expire(now, send);
        if now >= self.seeds_next {
            self.seeds_wait = (self.seeds_wait * 2).clamp(SEEDS_FIRST, SEEDS_AGAIN);
            self.seeds_next = now + self.seeds_wait;
            for a in self.seeds.clone() {
                let known = self
                    .all
                    .values()
                    .any(|c| c.s.addr == a && c.s.status == ALIVE);
                if a != self.me.addr && !known {
                    self.probe(now, 0, a, send);
                }
            }
        }
        if now >= self.next {
            self.next = now + PROBE_ROUND;
            let disk = self
                .me
                .disk
                .then(|| self.turn_of(self.disk_cursor, true))
                .flatten();
            let any = self.turn_of(self.cursor, false);
            disk.into_iter().for_each(|(id, _)| self.disk_cursor = id);
            any.into_iter().for_each(|(id, _)| self.cursor = id);
            for (id, addr) in [disk, any].into_iter().flatten() {
                if self.seq.is_multiple_of(8)
                    || self.all.get(&id).is_some_and(|c| c.wire < self.wire)
                {
                    send.push((addr, Msg::Speaks { wire: self.wire }));
                }
                if !self.open.iter().any(|o| o.id == id) {
                    self.probe(now, id, addr, send);
                }
            }
        }
        self.next.min(now + 50)
    }

    fn turn_of(&self, c: NodeId, disk: bool) -> Option<(NodeId, Addr)> {
        let mut all = self.all.range(c + 1..).chain(self.all.range(..=c));
        all.find(|(_, c)| !disk || c.s.disk)
            .map(|(i, c)| (*i, c.s.addr))
    }

    /// Someone who may carry a packet to `to`, which this process does not reach itself.
    pub fn relay_to(&self, to: Addr) -> Option<Addr> {
        let t = self
            .all
            .values()
            .find(|c| c.s.addr == to && !c.direct && c.s.status != GONE)?;
        let fit = |c: &&Colleague| {
            c.direct && c.s.status == ALIVE && c.s.domain != t.s.domain && c.s.id != t.s.id
        };
        let far = |c: &&Colleague| c.s.domain != self.me.domain;
        let v: Vec<&Colleague> = self.all.values().filter(fit).collect();
        let far: Vec<&Colleague> = v.into_iter().filter(far).collect();
        far.get(self.seq as usize % far.len().max(1))
            .map(|c| c.s.addr)
    }

    /// Something that was due from `to` did not come.
    pub fn doubt(&mut self, to: Addr) {
        self.all
            .values_mut()
            .filter(|c| c.s.addr == to)
            .for_each(|c| c.direct = false);
    }

    /// Up to three others to probe through: those that are reached without help first, no two of one
    /// zone while there are more zones, and none on the machine of either end while there are others,
    /// since what cuts a process off cuts off all of its machine.
    pub fn helpers(&self, id: NodeId) -> Vec<(Addr, NodeId)> {
        let target = self.all.get(&id).map(|c| c.s.addr.ip);
        let on_either_end = |s: &Summary| s.addr.ip == self.me.addr.ip || Some(s.addr.ip) == target;
        let mut others: Vec<&Summary> = self.live().filter(|s| s.id != id).collect();
        if others.iter().any(|s| !on_either_end(s)) {
            others.retain(|s| !on_either_end(s));
        }
        let count = others.len().max(1);
        others.rotate_left(self.seq as usize % count);
        others.sort_by_key(|s| !self.all.get(&s.id).is_some_and(|c| c.direct));
        let zone_rank = |i: usize| {
            let before = others[..i].iter();
            before.filter(|s| s.domain == others[i].domain).count()
        };
        let mut order: Vec<(usize, usize)> = (0..others.len()).map(|i| (zone_rank(i), i)).collect();
        order.sort_unstable();
        order
            .into_iter()
            .take(PROBE_HELPERS)
            .map(|(_, i)| (others[i].addr, others[i].id))
            .collect()
    }

    fn expire(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        self.relay.retain(|r| now < r.4 + 1000);
        let mut i = 0;
        while i < self.open.len() {
            let (id, addr, at, helped, seq) = {
                let o = &self.open[i];
                (o.id, o.addr, o.at, o.helped, o.seq)
            };
            let gone = self.all.get(&id).is_none_or(|c| c.s.status == GONE);
            if !helped && now >= at + PROBE_DIRECT && !gone {
                self.open[i].helped = true;
                self.all
                    .get_mut(&id)
                    .into_iter()
                    .for_each(|c| c.direct = false);
                for (to, via) in self.helpers(id) {
                    let news = self.news();
                    let m = match self.all.get(&via).is_some_and(|c| c.wire >= 2) {
                        true => Msg::ProbeOf {
                            seq,
                            target: addr,
                            id,
                            news,
                        },
                        false => Msg::ProbeFor {
                            seq,
                            target: addr,
                            news,
                        },
                    };
                    send.push((to, m));
                }
            }
            if now >= at + PROBE_DIRECT + PROBE_INDIRECT {
                self.open.swap_remove(i);
                if self.all.get(&id).is_some_and(|c| c.s.status == ALIVE) {
                    self.turn(id, "silent", "no answer, nor through third parties", now);
                }
            } else {
                i += 1;
            }
        }
        let late: Vec<NodeId> = self
            .all
            .iter()
            .filter(|(_, c)| c.s.status == SUSPECT && now >= c.since + SUSPICION)
            .map(|(i, _)| *i)
            .collect();
        late.into_iter()
            .for_each(|i| self.turn(i, "silent", "suspicion was not refuted", now));
        self.all
            .retain(|_, c| c.s.status != GONE || now < c.since + FORGET);
    }
}
