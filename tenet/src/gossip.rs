//! What other processes tell of each other, and what this one answers.

use crate::base::*;
use crate::colleagues::*;
use crate::wire::{Msg, Summary};

impl Colleagues {
    fn learn(&mut self, s: Summary, direct: bool, now: Time) {
        if s.id == self.me.id {
            let accused = s.status != ALIVE && s.life == self.me.life;
            if accused {
                self.health.worsen();
            }
            if s.life > self.me.life || accused {
                self.me.life = s.life + 1;
                // Who accused it is answered anyway; others hear of it at once.
                self.spread();
            }
            return;
        }
        let o = self.all.get(&s.id).map(|c| (c.s.life, c.s.status));
        let newer = o.is_none_or(|(l, t)| s.life > l || (s.life == l && s.status > t));
        if o.is_none() && s.status == GONE {
            return;
        }
        if newer {
            let turned = o.is_none_or(|(_, t)| t != s.status);
            // A process that starts learns of all others; that is no news to an operator.
            if o.is_some_and(|(_, t)| t != s.status) {
                let t = format!(
                    "{:x} at {} is {}, told",
                    s.id,
                    s.addr,
                    NAMES[(s.status as usize).min(2)]
                );
                self.stories.push((format!("{:x}", s.id), t));
            }
            let since = self
                .all
                .get(&s.id)
                .filter(|_| !turned)
                .map_or(now, |c| c.since);
            let id = s.id;
            let mut s = s;
            s.status = s.status.min(GONE);
            let wire = self.all.get(&id).map_or(1, |c| c.wire);
            // What others tell of it says nothing of the way to it.
            let direct = self.all.get(&id).is_none_or(|c| c.direct);
            let missed = self.all.get(&id).is_some_and(|c| c.missed);
            let first_seen = self.all.get(&id).map_or(now, |c| c.first_seen);
            let witnessed = self.all.get(&id).is_some_and(|c| c.witnessed && !turned);
            self.all.insert(
                id,
                Colleague {
                    s,
                    since,
                    heard: now,
                    why: "told".into(),
                    wire,
                    direct,
                    missed,
                    witnessed,
                    first_seen,
                },
            );
            self.fresh.push_back((id, 6));
        } else if let Some(c) = self.all.get_mut(&s.id) {
            if s.life == c.s.life && (direct || s.mark >= c.s.mark) {
                let t = c.s.status;
                c.s = Summary { status: t, ..s };
            }
        }
    }

    /// Notes that a process was heard of at `now`.
    pub fn heard(&mut self, id: NodeId, now: Time) {
        if let Some(c) = self.all.get_mut(&id) {
            c.heard = now;
        }
    }

    /// Takes a packet's gossip: learns its news and answers its probe. Any other message changes nothing
    /// here.
    pub fn take(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: &Msg,
        send: &mut Vec<(Addr, Msg)>,
    ) {
        let news = match m {
            Msg::Probe { news, .. }
            | Msg::ProbeAck { news, .. }
            | Msg::ProbeFor { news, .. }
            | Msg::ProbeOf { news, .. } => news,
            Msg::Speaks { wire } => {
                self.all
                    .get_mut(&from)
                    .into_iter()
                    .for_each(|c| c.wire = *wire);
                return;
            }
            _ => return,
        };
        for s in news {
            self.learn(s.clone(), s.id == from, now);
        }
        let old: Vec<NodeId> = self
            .all
            .values()
            .filter(|c| c.s.addr == addr && c.s.id != from && c.s.status != GONE)
            .map(|c| c.s.id)
            .collect();
        for id in old {
            self.turn(id, "silent", "another process answers at its address", now);
            self.turn(id, "silent", "another process answers at its address", now);
        }
        self.heard(from, now);
        match m {
            Msg::Probe { seq, .. } => {
                let news = self.news_for(from);
                send.push((addr, Msg::ProbeAck { seq: *seq, news }));
            }
            Msg::ProbeFor { seq, target, .. } => {
                self.probe_for(now, addr, *seq, *target, 0, send);
            }
            Msg::ProbeOf {
                seq, target, id, ..
            } => self.probe_for(now, addr, *seq, *target, *id, send),
            Msg::ProbeAck { seq, .. } => {
                let o = self
                    .open
                    .iter()
                    .position(|o| o.seq == *seq)
                    .map(|i| self.open.swap_remove(i));
                if let Some(o) = o {
                    // A helper that is sooner answered than this process tells of a cut link; a peer that
                    // is only slow answers this process first.
                    let reached = if o.addr == addr { from } else { o.id };
                    if let Some(peer) = self.all.get_mut(&reached) {
                        peer.direct = o.addr == addr;
                        peer.missed = !peer.direct;
                    }
                    self.health.improve();
                    let same = o.id == from || o.addr != addr;
                    let id = if o.id == 0 { from } else { o.id };
                    if same || o.id == 0 {
                        self.turn(id, "heard", "it answered a probe", now);
                    }
                }
                let r = self
                    .relay
                    .iter()
                    .position(|r| r.0 == *seq && (r.3 == 0 || r.3 == from))
                    .map(|i| self.relay.swap_remove(i));
                if let Some((_, to, seq, ..)) = r {
                    let news = self.news();
                    send.push((to, Msg::ProbeAck { seq, news }));
                }
            }
            _ => (),
        }
    }
}
