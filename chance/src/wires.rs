//! The simulated network: delays, partitions, and connections that keep what was handed over as a kernel does, until
//! it is acknowledged or given up.

use crate::fault::Plant;
use crate::sim::*;
use std::collections::VecDeque;
use tenet::base::*;
use tenet::control::In;
use tenet::front::FrontIn;
use tenet::wire::{by_line, Msg, Packet};

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum End {
    Node(usize),
    Server(usize),
}

pub struct Held {
    pub from: End,
    pub to: End,
    pub sent: Time,
    pub call: Option<(usize, u64)>,
    pub ev: Ev,
}

#[derive(Default)]
pub struct Wire {
    last: Time,
    queue: VecDeque<(Time, Ev)>,
    dead: bool,
    connecting: Time,
}

const RTO: Time = 200;
const KERNEL: Time = 900_000;

fn resent(sent: Time, now: Time) -> bool {
    (1..16).any(|k| {
        let at = sent + RTO * ((1 << k) - 1);
        at <= now && at + 10 > now
    })
}

impl Sim {
    fn domain_of(&self, e: End) -> &str {
        match e {
            End::Node(i) => &self.nodes[i].domain,
            End::Server(s) => &self.world.servers[s].domain,
        }
    }

    pub fn apart(&self, a: End, b: End) -> bool {
        let gone = |e: End| matches!(e, End::Node(i) if self.lost_node == Some(i));
        let cut = |e: End, way: u8| {
            self.lost_servers
                .iter()
                .any(|(s, w)| e == End::Server(*s) && (*w == 0 || *w == way))
        };
        let link = match (a, b) {
            (End::Node(i), End::Node(j)) => self.lost_links.contains(&(i, j)),
            _ => false,
        };
        gone(a)
            || gone(b)
            || link
            || cut(b, 1)
            || cut(a, 2)
            || self.cut(self.domain_of(a), self.domain_of(b))
    }

    pub fn travel(&mut self, a: End, b: End) -> Time {
        let far = self.cfg.region(self.domain_of(a)) != self.cfg.region(self.domain_of(b));
        let base = if far { self.region_ms / 2 } else { 0 };
        let tail = match self.roll(1000) {
            0..=1 => self.roll(600),
            2..=19 => self.roll(60),
            _ => 0,
        };
        base + self.roll(3) + tail
    }

    fn old_sockets(&self) -> bool {
        self.plant == Plant::OldSockets
    }

    pub fn pipe(&mut self, from: End, to: End, call: Option<(usize, u64)>, more: Time, ev: Ev) {
        let t = self.now + self.travel(from, to) + more;
        match self.apart(from, to) {
            true => self.kernel.push(Held {
                from,
                to,
                sent: self.now,
                call,
                ev,
            }),
            false => self.at(t, ev),
        }
    }

    pub fn given_up(&mut self, node: usize, token: u64) {
        if !self.old_sockets() {
            self.kernel.retain(|h| h.call != Some((node, token)));
        }
    }

    pub fn node_gone(&mut self, i: usize) {
        if !self.old_sockets() {
            self.kernel.retain(|h| h.from != End::Node(i));
            self.wires.retain(|(a, _), _| *a != i);
        }
        self.wires.retain(|(_, b), _| *b != i);
    }

    pub fn flush(&mut self) {
        let life = if self.old_sockets() {
            KERNEL
        } else {
            BYTES_LIFE
        };
        let now = self.now;
        let mut rest = Vec::new();
        for h in std::mem::take(&mut self.kernel) {
            let limit = if matches!(h.from, End::Node(_)) {
                life
            } else {
                KERNEL
            };
            if now >= h.sent + limit {
                continue;
            }
            match !self.apart(h.from, h.to) && resent(h.sent, now) {
                true => {
                    let t = now + self.travel(h.from, h.to);
                    self.at(t, h.ev)
                }
                false => rest.push(h),
            }
        }
        self.kernel.append(&mut rest);
        let keys: Vec<(usize, usize)> = self
            .wires
            .iter()
            .filter(|(_, w)| !w.queue.is_empty())
            .map(|(k, _)| *k)
            .collect();
        for (i, j) in keys {
            self.flush_wire(i, j);
        }
    }

    fn flush_wire(&mut self, i: usize, j: usize) {
        let (old, now) = (self.old_sockets(), self.now);
        let free = !self.apart(End::Node(i), End::Node(j));
        let Some(w) = self.wires.get_mut(&(i, j)) else {
            return;
        };
        let sent = w.queue.front().map_or(now, |q| q.0);
        if !old && now >= sent + LINE_ACK + RTO {
            w.queue.clear();
            w.dead = true;
            return;
        }
        if free && resent(sent, now) {
            let v: Vec<(Time, Ev)> = w.queue.drain(..).collect();
            let t = w.last.max(now) + 1;
            w.last = t;
            v.into_iter().for_each(|(_, e)| self.at(t, e));
        }
    }

    fn line(&mut self, i: usize, j: usize, ev: Ev) {
        let (a, b) = (End::Node(i), End::Node(j));
        let (apart, now) = (self.apart(a, b), self.now);
        let t = now + self.travel(a, b);
        let w = self.wires.entry((i, j)).or_default();
        if w.dead {
            if apart && now >= w.connecting {
                w.connecting = now + LINE_OLD;
            }
            if now < w.connecting {
                return;
            }
            w.dead = false;
        }
        if apart || !w.queue.is_empty() {
            w.queue.push_back((now, ev));
            return;
        }
        w.last = w.last.max(t);
        let t = w.last;
        self.at(t, ev);
    }

    pub fn post(&mut self, i: usize, to: Addr, p: Packet) {
        let k = match p.msg {
            Msg::Probe { .. }
            | Msg::ProbeAck { .. }
            | Msg::ProbeFor { .. }
            | Msg::ProbeOf { .. }
            | Msg::Speaks { .. } => "gossip",
            Msg::Carry { .. } | Msg::Carried { .. } | Msg::Echo { .. } => "traffic",
            Msg::Append { .. } | Msg::Have { .. } | Msg::Propose { .. } | Msg::Outcome { .. } => {
                "chain"
            }
            Msg::Sights { .. } => "sights",
            _ => "permits",
        };
        let size = tenet::wire::encode(&p).len();
        let m = self.messages.entry(k).or_default();
        *m = (m.0 + 1, m.1 + size as u64);
        let Some(j) = self.nodes.iter().position(|n| n.addr == to && n.up) else {
            return;
        };
        let life = self.nodes[j].life;
        let stream = by_line(&p, size);
        let make = |p: Packet| match FrontIn::from_packet(p) {
            Ok(input) => Ev::Front(j, life, input),
            Err(p) => Ev::Control(j, life, In::Packet(*p)),
        };
        if stream {
            return self.line(i, j, make(p));
        }
        let (a, b) = (End::Node(i), End::Node(j));
        if self.apart(a, b) || self.roll(200) == 0 {
            return;
        }
        if self.roll(300) == 0 {
            let t = self.now + self.travel(a, b) + self.roll(400);
            self.at(t, make(p.clone()));
        }
        let t = self.now + self.travel(a, b);
        self.at(t, make(p));
    }
}
