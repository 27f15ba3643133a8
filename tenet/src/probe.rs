//! Probing: each round one other process, in turn, directly and then through helpers.

use crate::base::*;
use crate::colleagues::*;
use crate::wire::{Msg, Summary};

impl Colleagues {
    pub(crate) fn probe_for(
        &mut self,
        now: Time,
        to: Addr,
        seq: u32,
        target: Addr,
        id: NodeId,
        send: &mut Vec<(Addr, Msg)>,
    ) {
        self.seq += 1;
        self.relay.push((self.seq, to, seq, id, now));
        let news = self.news();
        send.push((
            target,
            Msg::Probe {
                seq: self.seq,
                news,
            },
        ));
    }

    fn probe(&mut self, now: Time, id: NodeId, addr: Addr, send: &mut Vec<(Addr, Msg)>) {
        self.seq += 1;
        let news = self.news_for(id);
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
        self.started.get_or_insert(now);
        self.excuse_own_pause(now);
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
            self.tell_suspects(now, send);
            let apart = self.one_apart();
            for (id, addr) in [disk, any, apart].into_iter().flatten() {
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

    /// While this process did not run, answers could not be taken: that is no silence of the others.
    fn excuse_own_pause(&mut self, now: Time) {
        let gap = now.saturating_sub(self.ticked.max(1));
        if self.ticked > 0 && gap > CONTACT_PAUSE {
            self.health.worsen();
            self.open.iter_mut().for_each(|open| open.at += gap);
            let suspects = self.all.values_mut().filter(|c| c.s.status == SUSPECT);
            suspects.for_each(|c| c.since += gap);
        }
        self.ticked = now;
    }

    /// Tells those whom this process suspects, so that they can refute.
    fn tell_suspects(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        let witnessed = |c: &&Colleague| c.s.status == SUSPECT && c.witnessed;
        let suspects: Vec<(NodeId, Addr)> = self
            .all
            .values()
            .filter(witnessed)
            .map(|c| (c.s.id, c.s.addr))
            .take(SUSPECTS_TOLD)
            .collect();
        for (id, addr) in suspects {
            self.probe(now, id, addr, send);
            // Helpers were asked when the suspicion began.
            self.open
                .last_mut()
                .into_iter()
                .for_each(|o| o.helped = true);
        }
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

    /// One of those that this process does not reach itself, to see whether it does again.
    fn one_apart(&self) -> Option<(NodeId, Addr)> {
        let apart: Vec<&Colleague> = self
            .all
            .values()
            .filter(|c| !c.direct && c.s.status == ALIVE)
            .collect();
        let turn = self.seq as usize % apart.len().max(1);
        apart.get(turn).map(|c| (c.s.id, c.s.addr))
    }

    /// What is at `to` does not reach this process itself, for it had something relayed.
    pub fn apart(&mut self, to: Addr) {
        self.all
            .values_mut()
            .filter(|c| c.s.addr == to)
            .for_each(|c| c.direct = false);
    }

    /// Something that was due from `to` did not come: finds out whether the link is cut or it is only slow.
    pub fn check(&mut self, now: Time, to: Addr, send: &mut Vec<(Addr, Msg)>) {
        let peer = self.all.values().find(|c| c.s.addr == to);
        let id = peer.filter(|c| c.direct).map(|c| c.s.id);
        if let Some(id) = id.filter(|id| !self.open.iter().any(|o| o.id == *id)) {
            self.probe(now, id, to, send);
        }
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
        let direct = self.health.stretched(PROBE_DIRECT);
        let indirect = self.health.stretched(PROBE_DIRECT + PROBE_INDIRECT);
        let mut i = 0;
        while i < self.open.len() {
            let (id, at, helped) = {
                let o = &self.open[i];
                (o.id, o.at, o.helped)
            };
            let gone = self.all.get(&id).is_none_or(|c| c.s.status == GONE);
            if !helped && now >= at + direct && !gone {
                self.ask_helpers(i, send);
            }
            if now >= at + indirect {
                self.open.swap_remove(i);
                self.unanswered(id, now);
            } else {
                i += 1;
            }
        }
        self.give_up_suspects(now, send);
        self.all
            .retain(|_, c| c.s.status != GONE || now < c.since + FORGET);
    }

    /// Has others probe who did not answer this process.
    fn ask_helpers(&mut self, open: usize, send: &mut Vec<(Addr, Msg)>) {
        self.open[open].helped = true;
        let (id, target, seq) = {
            let o = &self.open[open];
            (o.id, o.addr, o.seq)
        };
        for (to, via) in self.helpers(id) {
            let news = self.news();
            let message = match self.all.get(&via).is_some_and(|c| c.wire >= 2) {
                true => Msg::ProbeOf {
                    seq,
                    target,
                    id,
                    news,
                },
                false => Msg::ProbeFor { seq, target, news },
            };
            send.push((to, message));
        }
    }

    /// A probe went unanswered, also through helpers.
    fn unanswered(&mut self, id: NodeId, now: Time) {
        let started = *self.started.get_or_insert(now);
        let Some(peer) = self.all.get_mut(&id) else {
            return;
        };
        let settled = now >= started.max(peer.first_seen) + PROBE_SETTLE;
        let (status, stopping) = (peer.s.status, peer.s.stopping);
        if status == SUSPECT && !peer.witnessed {
            (peer.witnessed, peer.since) = (true, now);
        }
        if status == ALIVE && stopping {
            self.turn(id, "silent", "it was stopping and answers no more", now);
            self.turn(id, "silent", "it was stopping and answers no more", now);
        } else if status == ALIVE && settled {
            self.health.worsen();
            self.turn(id, "silent", "no answer, nor through third parties", now);
        }
    }

    /// How long a suspect has to refute: what news takes to reach everybody grows with the logarithm of
    /// their number.
    fn suspicion(&self) -> Time {
        let doublings = (self.all.len() / SUSPICION_FLEET + 1).ilog2();
        self.health
            .stretched(SUSPICION + SUSPICION_DOUBLING * Time::from(doublings))
    }

    /// Gives up those that did not refute. Who was only told of a suspicion waits for the verdict of those
    /// who probed; if none comes, it probes itself.
    fn give_up_suspects(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        let own = self.suspicion();
        let late = |c: &Colleague| {
            let span = if c.witnessed {
                own
            } else {
                own + SUSPICION_TOLD
            };
            c.s.status == SUSPECT && now >= c.since + span
        };
        let late: Vec<(NodeId, Addr, bool)> = self
            .all
            .iter()
            .filter(|(_, c)| late(c))
            .map(|(id, c)| (*id, c.s.addr, c.witnessed))
            .collect();
        for (id, addr, witnessed) in late {
            if witnessed {
                self.turn(id, "silent", "suspicion was not refuted", now);
            } else if !self.open.iter().any(|o| o.id == id) {
                self.probe(now, id, addr, send);
            }
        }
    }
}
