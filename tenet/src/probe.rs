//! Probing: each round one other process, in turn, directly and then through helpers.

use crate::base::*;
use crate::colleagues::*;
use crate::wire::Msg;

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

    pub(crate) fn probe(&mut self, now: Time, id: NodeId, addr: Addr, send: &mut Vec<(Addr, Msg)>) {
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
            tells: false,
        });
    }

    /// Probes, suspects and gives up, as far as that is due; returns when it wants to be called again (ms).
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

    fn turn_of(&self, c: NodeId, disk: bool) -> Option<(NodeId, Addr)> {
        let mut all = self.all.range(c + 1..).chain(self.all.range(..=c));
        all.find(|(_, c)| !disk || c.s.disk)
            .map(|(i, c)| (*i, c.s.addr))
    }
}
