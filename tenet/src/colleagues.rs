use crate::base::*;
use crate::chart;
use crate::wire::{Msg, Summary};
use std::collections::{BTreeMap, VecDeque};

pub const ALIVE: u8 = 0;
pub const SUSPECT: u8 = 1;
pub const GONE: u8 = 2;
const NAMES: [&str; 3] = ["alive", "suspect", "gone"];

const ROUND: Time = 200;
const DIRECT: Time = 250;
const INDIRECT: Time = 350;
const SUSPICION: Time = 1200;
const FORGET: Time = 60_000;
const NEWS: usize = 10;
const SEEDS_AGAIN: Time = 1000;

pub struct Colleague {
    pub s: Summary,
    pub since: Time,
    pub heard: Time,
    pub why: String,
}

struct Open {
    seq: u32,
    id: NodeId,
    addr: Addr,
    at: Time,
    helped: bool,
}

pub struct Colleagues {
    pub me: Summary,
    pub all: BTreeMap<NodeId, Colleague>,
    seeds: Vec<Addr>,
    open: Vec<Open>,
    relay: Vec<(u32, Addr, u32, Time)>,
    fresh: VecDeque<(NodeId, u8)>,
    cursor: NodeId,
    news_cursor: NodeId,
    seq: u32,
    next: Time,
    seeds_next: Time,
    pub stories: Vec<(String, String)>,
}

impl Colleagues {
    pub fn new(me: Summary, seeds: Vec<Addr>) -> Self {
        Colleagues {
            me,
            all: BTreeMap::new(),
            seeds,
            open: Vec::new(),
            relay: Vec::new(),
            fresh: VecDeque::new(),
            cursor: 0,
            news_cursor: 0,
            seq: 0,
            next: 0,
            seeds_next: 0,
            stories: Vec::new(),
        }
    }

    pub fn alive(&self, id: NodeId) -> bool {
        id == self.me.id || self.all.get(&id).is_some_and(|c| c.s.status == ALIVE)
    }

    pub fn quiet(&self, id: NodeId, now: Time) -> Option<Time> {
        self.all.get(&id).filter(|c| c.s.status != ALIVE).map(|c| now.saturating_sub(c.since))
    }

    pub fn live(&self) -> impl Iterator<Item = &Summary> {
        self.all.values().map(|c| &c.s).filter(|s| s.status == ALIVE)
    }

    fn news(&mut self) -> Vec<Summary> {
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
            if v.len() > NEWS {
                break;
            }
            self.news_cursor = *id;
            if !v.iter().any(|s| s.id == *id) {
                v.push(c.s.clone());
            }
        }
        v
    }

    fn turn(&mut self, id: NodeId, event: &str, why: &str, now: Time) {
        let me = format!("{:x}", self.me.id);
        if let Some(c) = self.all.get_mut(&id) {
            let to = chart::colleague().step(NAMES[c.s.status as usize], event);
            let to = to.and_then(|t| NAMES.iter().position(|n| *n == t)).unwrap_or(0) as u8;
            if to != c.s.status {
                c.s.status = to;
                c.since = now;
                c.why = why.into();
                let t = format!("{:x} at {} is {}: {why}, seen by {me}", id, c.s.addr, NAMES[to as usize]);
                self.stories.push((format!("{id:x}"), t));
                self.fresh.push_back((id, 8));
            }
        }
    }

    fn learn(&mut self, s: Summary, direct: bool, now: Time) {
        if s.id == self.me.id {
            if s.status != ALIVE && s.life >= self.me.life {
                self.me.life = s.life + 1;
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
                let t = format!("{:x} at {} is {}, told", s.id, s.addr, NAMES[(s.status as usize).min(2)]);
                self.stories.push((format!("{:x}", s.id), t));
            }
            let since = self.all.get(&s.id).filter(|_| !turned).map_or(now, |c| c.since);
            let id = s.id;
            let mut s = s;
            s.status = s.status.min(GONE);
            self.all.insert(id, Colleague { s, since, heard: now, why: "told".into() });
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

    pub fn take(&mut self, now: Time, from: NodeId, addr: Addr, m: &Msg, send: &mut Vec<(Addr, Msg)>) {
        let news = match m {
            Msg::Probe { news, .. } | Msg::ProbeAck { news, .. } | Msg::ProbeFor { news, .. } => news,
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
                let news = self.news();
                send.push((addr, Msg::ProbeAck { seq: *seq, news }));
            }
            Msg::ProbeFor { seq, target, .. } => {
                self.seq += 1;
                self.relay.push((self.seq, addr, *seq, now));
                let news = self.news();
                send.push((*target, Msg::Probe { seq: self.seq, news }));
            }
            Msg::ProbeAck { seq, .. } => {
                let o = self.open.iter().position(|o| o.seq == *seq).map(|i| self.open.swap_remove(i));
                if let Some(o) = o {
                    let same = o.id == from || o.addr != addr;
                    let id = if o.id == 0 { from } else { o.id };
                    if same || o.id == 0 {
                        self.turn(id, "heard", "it answered a probe", now);
                    }
                }
                let r = self.relay.iter().position(|r| r.0 == *seq).map(|i| self.relay.swap_remove(i));
                if let Some((_, to, seq, _)) = r {
                    let news = self.news();
                    send.push((to, Msg::ProbeAck { seq, news }));
                }
            }
            _ => (),
        }
    }

    fn probe(&mut self, now: Time, id: NodeId, addr: Addr, send: &mut Vec<(Addr, Msg)>) {
        self.seq += 1;
        let news = self.news();
        send.push((addr, Msg::Probe { seq: self.seq, news }));
        self.open.push(Open { seq: self.seq, id, addr, at: now, helped: false });
    }

    pub fn tick(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) -> Time {
        self.expire(now, send);
        if now >= self.seeds_next {
            self.seeds_next = now + SEEDS_AGAIN;
            for a in self.seeds.clone() {
                let known = self.all.values().any(|c| c.s.addr == a && c.s.status == ALIVE);
                if a != self.me.addr && !known {
                    self.probe(now, 0, a, send);
                }
            }
        }
        if now >= self.next {
            self.next = now + ROUND;
            for _ in 0..2.min(self.all.len()) {
                let c = self.cursor;
                let n = self.all.range(c + 1..).chain(self.all.range(..=c)).next();
                if let Some((id, addr)) = n.map(|(i, c)| (*i, c.s.addr)) {
                    self.cursor = id;
                    if !self.open.iter().any(|o| o.id == id) {
                        self.probe(now, id, addr, send);
                    }
                }
            }
        }
        self.next.min(now + 50)
    }

    fn expire(&mut self, now: Time, send: &mut Vec<(Addr, Msg)>) {
        self.relay.retain(|r| now < r.3 + 1000);
        let mut i = 0;
        while i < self.open.len() {
            let (id, addr, at, helped, seq) = {
                let o = &self.open[i];
                (o.id, o.addr, o.at, o.helped, o.seq)
            };
            if !helped && now >= at + DIRECT && id != 0 {
                self.open[i].helped = true;
                let n = self.seq as usize;
                let v: Vec<Addr> = self.live().filter(|s| s.id != id).map(|s| s.addr).collect();
                for k in 0..v.len().min(3) {
                    let news = self.news();
                    send.push((v[(n + k) % v.len()], Msg::ProbeFor { seq, target: addr, news }));
                }
            }
            if now >= at + DIRECT + INDIRECT {
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
        late.into_iter().for_each(|i| self.turn(i, "silent", "suspicion was not refuted", now));
        self.all.retain(|_, c| c.s.status != GONE || now < c.since + FORGET);
    }
}
