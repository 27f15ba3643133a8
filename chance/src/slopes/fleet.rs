//! A fleet for measurements in one process: real control machines beside hollow followers, with every packet
//! encoded and decoded, and messages, bytes and processor time counted by node.

use crate::slopes::hollow::Hollow;
use crate::slopes::scene::*;
use crate::slopes::tally::*;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};
use tenet::base::*;
use tenet::control::*;
use tenet::state::State;
use tenet::wire::{decode, encode, Msg, Packet, Sight};

pub enum Ev {
    Bytes(usize, &'static str, Vec<u8>),
    Wake(usize, Time),
    Synced(usize, u64),
    Sights(usize),
    Hollow(usize),
}

pub enum Node {
    Real(Box<Control>),
    Hollow(Hollow),
    Dead,
}

/// A whole fleet in one process. One way takes 5 ms, a sync 25 ms; nothing is lost.
pub struct Fleet {
    pub sc: Scene,
    pub now: Time,
    pub nodes: Vec<Node>,
    pub tally: Vec<Tally>,
    pub forced: Vec<Time>,
    pub told: Vec<String>,
    pub seen_off: HashMap<NodeId, Time>,
    pub victims: Vec<NodeId>,
    by: HashMap<Addr, usize>,
    wake: Vec<Time>,
    sights: Vec<Vec<Sight>>,
    q: BTreeMap<Time, Vec<Ev>>,
}

const WAY: Time = 5;
const SYNC: Time = 25;
const TELL: Time = 150;

impl Fleet {
    /// `real` followers run the whole machine, the rest are hollow; `sights`: servers' standings
    /// are reported to the head each 150 ms.
    pub fn new(sc: Scene, st: &State, real: usize, sights: bool) -> Fleet {
        let n = sc.all();
        let mut f = Fleet {
            now: 1,
            nodes: Vec::new(),
            tally: vec![Tally::default(); n],
            forced: vec![0; n],
            told: Vec::new(),
            seen_off: HashMap::new(),
            victims: Vec::new(),
            by: (0..n).map(|i| (seat(i).addr, i)).collect(),
            wake: vec![0; n],
            sights: vec![Vec::new(); n],
            q: BTreeMap::new(),
            sc,
        };
        let news: Vec<_> = (0..n).map(|i| f.sc.summary(i, st.mark)).collect();
        for i in 0..n {
            let at = 2 + mix(i as u64) % 200;
            if i < VOTERS + real {
                let (c, e) = Control::new(f.sc.start(i, st), 1);
                f.nodes.push(Node::Real(Box::new(c)));
                f.effect(i, e);
                let o = seat((i + 1) % VOTERS);
                let p = Packet {
                    from: o.id,
                    addr: o.addr,
                    cluster: 7,
                    msg: Msg::ProbeAck {
                        seq: 0,
                        news: news.clone(),
                    },
                };
                f.at(2, Ev::Bytes(i, "start", encode(&p)));
            } else {
                f.nodes.push(Node::Hollow(Hollow::new(i, st.mark)));
                f.at(at, Ev::Hollow(i));
            }
            if sights && i >= VOTERS {
                f.sights[i] = f.sc.sights(i, st);
                f.at(3000 + at, Ev::Sights(i));
            }
        }
        f
    }

    pub fn at(&mut self, t: Time, e: Ev) {
        self.q.entry(t.max(self.now)).or_default().push(e);
    }

    pub fn run(&mut self, until: Time) {
        while let Some(e) = self.q.first_entry().filter(|e| *e.key() <= until) {
            self.now = *e.key();
            let v = e.remove();
            v.into_iter().for_each(|e| self.step(e));
        }
        self.now = until;
    }

    fn step(&mut self, e: Ev) {
        match e {
            Ev::Wake(i, t) if self.wake[i] == t => self.poll(i, In::Wakeup),
            Ev::Wake(..) => (),
            Ev::Synced(i, s) => self.poll(i, In::Synced(s)),
            Ev::Sights(i) => {
                self.at(self.now + TELL, Ev::Sights(i));
                let v = self.sights[i].clone();
                match self.nodes[i] {
                    Node::Real(_) => self.poll(i, In::Sights(v)),
                    Node::Hollow(_) => self.post(i, seat(0).addr, Msg::Sights { v }),
                    Node::Dead => (),
                }
            }
            Ev::Hollow(i) => {
                self.at(self.now + 50, Ev::Hollow(i));
                let Node::Hollow(h) = &mut self.nodes[i] else {
                    return;
                };
                let v = h.tick(self.now, &self.sc);
                v.into_iter().for_each(|(a, m)| self.post(i, a, m));
            }
            Ev::Bytes(i, k, b) => {
                self.tally[i].take(k, b.len());
                let t = Instant::now();
                let p = decode(&b);
                self.tally[i].codec += t.elapsed();
                let Ok(p) = p else { return };
                match &mut self.nodes[i] {
                    Node::Real(_) => self.poll(i, In::Packet(p)),
                    Node::Hollow(h) => {
                        let r = h.take(p.addr, &p.msg, &self.sc);
                        r.into_iter().for_each(|(a, m)| self.post(i, a, m));
                    }
                    Node::Dead => (),
                }
            }
        }
    }

    pub fn poll(&mut self, i: usize, x: In) {
        let Node::Real(c) = &mut self.nodes[i] else {
            return;
        };
        let (t, was) = (Instant::now(), c.state().cfg_mark);
        let e = c.poll(self.now, x);
        let d = t.elapsed();
        let turned = c.state().cfg_mark != was;
        self.tally[i].ran(d);
        if turned {
            self.forced[i] = self.now;
        }
        self.effect(i, e);
    }

    fn effect(&mut self, i: usize, e: Effect) {
        if i < VOTERS {
            self.told.extend(e.log);
        }
        if let Some((t, _)) = e.news.filter(|_| i == 0) {
            let off = |n: &NodeId| t.nodes.get(n).is_none_or(|r| !r.alive);
            for n in self.victims.iter().filter(|n| off(n)) {
                self.seen_off.entry(*n).or_insert(self.now);
            }
        }
        e.send.into_iter().for_each(|(a, p)| self.packet(i, a, &p));
        if let Some((s, _)) = e.write {
            self.at(self.now + SYNC, Ev::Synced(i, s));
        }
        self.wake[i] = e.wakeup.max(self.now + 1);
        self.at(self.wake[i], Ev::Wake(i, self.wake[i]));
    }

    fn post(&mut self, i: usize, to: Addr, msg: Msg) {
        let s = seat(i);
        self.packet(
            i,
            to,
            &Packet {
                from: s.id,
                addr: s.addr,
                cluster: 7,
                msg,
            },
        );
    }

    fn packet(&mut self, i: usize, to: Addr, p: &Packet) {
        let t = Instant::now();
        let b = encode(p);
        self.tally[i].codec += t.elapsed();
        let k = kind(&p.msg);
        self.tally[i].send(k, b.len());
        if let Some(j) = self.by.get(&to).copied() {
            self.at(self.now + WAY, Ev::Bytes(j, k, b));
        }
    }

    pub fn reset(&mut self) {
        self.tally.iter_mut().for_each(|t| *t = Tally::default());
    }

    /// Sums by role over real machines, with how many nodes have it.
    pub fn roles(&self, st: &State) -> BTreeMap<&'static str, (usize, Tally)> {
        let fences = |i: usize| st.dbs.values().any(|d| d.fencers.contains(&seat(i).id));
        let mut m: BTreeMap<&'static str, (usize, Tally)> = BTreeMap::new();
        for (i, t) in self
            .tally
            .iter()
            .enumerate()
            .filter(|(i, _)| matches!(self.nodes[*i], Node::Real(_)))
        {
            let r = match i {
                0 => "head",
                1 => "middle",
                2 => "tail",
                _ if fences(i) => "fencing",
                _ => "follower",
            };
            let e = m.entry(r).or_default();
            e.0 += 1;
            e.1.join(t);
        }
        m
    }

    pub fn known(&self) -> (usize, usize) {
        let c = self.nodes.iter().filter_map(|n| match n {
            Node::Real(c) => Some(c.state()),
            _ => None,
        });
        c.fold((usize::MAX, 0), |a, s| {
            (a.0.min(s.members.len()), a.1.max(s.mark as usize))
        })
    }
}

pub fn timed<T>(f: impl FnOnce() -> T) -> (T, Duration) {
    let t = Instant::now();
    let r = f();
    (r, t.elapsed())
}
