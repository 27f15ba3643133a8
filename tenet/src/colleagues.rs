//! Who is alive, as the processes of the fleet tell each other (SWIM with the additions of Lifeguard).
//!
//! A process that does not answer a probe, neither directly nor through others, becomes a suspect.
//! Only who probed it in vain lets the suspicion run out; others wait for that verdict. Until then
//! the suspect is told at each round, so that one that runs refutes with a higher life.

use crate::base::*;
use crate::chart;
use crate::local_health::LocalHealth;
use crate::wire::{Msg, Summary};
use std::collections::{BTreeMap, VecDeque};

pub const ALIVE: u8 = 0;
pub const SUSPECT: u8 = 1;
pub const GONE: u8 = 2;
const NAMES: [&str; 3] = ["alive", "suspect", "gone"];

const NEWS: usize = 10;
const FILL: usize = 3;
const FILL_EACH: u32 = 8;

pub struct Colleague {
    pub s: Summary,
    pub since: Time,
    pub heard: Time,
    pub why: String,
    pub wire: u8,
    /// This process reaches it without help.
    pub direct: bool,
    /// This process probed it in vain since it became a suspect.
    pub(crate) witnessed: bool,
    /// When this process first learnt of it.
    pub(crate) first_seen: Time,
}

pub(crate) struct Open {
    pub seq: u32,
    pub id: NodeId,
    pub addr: Addr,
    pub at: Time,
    pub helped: bool,
}

pub struct Colleagues {
    pub me: Summary,
    pub wire: u8,
    pub all: BTreeMap<NodeId, Colleague>,
    pub(crate) seeds: Vec<Addr>,
    pub(crate) open: Vec<Open>,
    pub(crate) relay: Vec<(u32, Addr, u32, NodeId, Time)>,
    fresh: VecDeque<(NodeId, u8)>,
    pub(crate) cursor: NodeId,
    pub(crate) disk_cursor: NodeId,
    news_cursor: NodeId,
    pub(crate) seq: u32,
    pub(crate) next: Time,
    pub(crate) seeds_next: Time,
    pub(crate) seeds_wait: Time,
    pub(crate) health: LocalHealth,
    /// When this process first ran a round, and when it last did.
    pub(crate) started: Option<Time>,
    pub(crate) ticked: Time,
    pub stories: Vec<(String, String)>,
}

impl Colleagues {
    pub fn new(me: Summary, seeds: Vec<Addr>, wire: u8) -> Self {
        let me_id = me.id;
        Colleagues {
            me,
            wire,
            all: BTreeMap::new(),
            seeds,
            open: Vec::new(),
            relay: Vec::new(),
            fresh: VecDeque::new(),
            cursor: me_id,
            disk_cursor: 0,
            news_cursor: 0,
            seq: 0,
            next: 0,
            seeds_next: 0,
            seeds_wait: 0,
            health: LocalHealth::default(),
            started: None,
            ticked: 0,
            stories: Vec::new(),
        }
    }

    pub fn alive(&self, id: NodeId) -> bool {
        id == self.me.id || self.all.get(&id).is_some_and(|c| c.s.status == ALIVE)
    }

    pub fn serves(&self, id: NodeId) -> bool {
        self.all
            .get(&id)
            .is_some_and(|c| c.s.status == ALIVE && !c.s.stopping)
    }

    pub fn stops(&self, id: NodeId) -> bool {
        match id == self.me.id {
            true => self.me.stopping,
            false => self.all.get(&id).is_some_and(|c| c.s.stopping),
        }
    }

    pub fn suspect(&self, id: NodeId) -> bool {
        self.all.get(&id).is_some_and(|c| c.s.status == SUSPECT)
    }

    pub fn quiet(&self, id: NodeId, now: Time) -> Option<Time> {
        self.all
            .get(&id)
            .filter(|c| c.s.status != ALIVE)
            .map(|c| now.saturating_sub(c.since))
    }

    pub fn live(&self) -> impl Iterator<Item = &Summary> {
        self.all
            .values()
            .map(|c| &c.s)
            .filter(|s| s.status == ALIVE)
    }

    pub fn spread(&mut self) {
        self.next = 0;
    }

    pub(crate) fn news(&mut self) -> Vec<Summary> {
        let mut v = vec![self.me.clone()];
        for _ in 0..self.fresh.len().min(NEWS) {
            if let Some((id, n)) = self.fresh.pop_front() {
                v.extend(self.all.get(&id).map(|c| c.s.clone()));
                if n > 1 {
                    self.fresh.push_back((id, n - 1));
                }
            }
        }
        let from = self.news_cursor;
        for (id, c) in self.all.range(from + 1..).chain(self.all.range(..=from)) {
            if v.len() >= FILL || !self.seq.is_multiple_of(FILL_EACH) {
                break;
            }
            self.news_cursor = *id;
            if !v.iter().any(|s| s.id == *id) {
                v.push(c.s.clone());
            }
        }
        v
    }

    /// What to tell `id`: what is new, and first of all that it is suspected or given up, if it is.
    pub(crate) fn news_for(&mut self, id: NodeId) -> Vec<Summary> {
        let mut news = self.news();
        let accused = self.all.get(&id).filter(|c| c.s.status != ALIVE);
        if let Some(c) = accused {
            news.retain(|s| s.id != id);
            news.insert(1, c.s.clone());
        }
        news
    }

    pub(crate) fn turn(&mut self, id: NodeId, event: &str, why: &str, now: Time) {
        let me = format!("{:x}", self.me.id);
        if let Some(c) = self.all.get_mut(&id) {
            let to = chart::colleague().step(NAMES[c.s.status as usize], event);
            let to = to
                .and_then(|t| NAMES.iter().position(|n| *n == t))
                .unwrap_or(c.s.status as usize) as u8;
            if to != c.s.status {
                c.s.status = to;
                c.since = now;
                c.witnessed = to == SUSPECT;
                c.why = why.into();
                let t = format!(
                    "{:x} at {} is {}: {why}, seen by {me}",
                    id, c.s.addr, NAMES[to as usize]
                );
                self.stories.push((format!("{id:x}"), t));
                self.fresh.push_back((id, 8));
            }
        }
    }

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
            if turned {
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

    pub fn heard(&mut self, id: NodeId, now: Time) {
        if let Some(c) = self.all.get_mut(&id) {
            c.heard = now;
        }
    }

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
