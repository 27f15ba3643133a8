use crate::fault::*;
use crate::sim::*;
use guise::check::Out;
use tenet::base::*;
use tenet::control::*;
use tenet::front::*;
use tenet::wire::{Msg, Packet};

impl Sim {
    pub fn step(&mut self, e: Ev) {
        match e {
            Ev::Control(i, life, x) => self.control(i, life, x),
            Ev::Front(i, life, x) => self.front(i, life, x),
            Ev::WakeC(i, life, t) if self.nodes[i].wake_c == t => self.control(i, life, In::Wakeup),
            Ev::WakeF(i, life, t) if self.nodes[i].wake_f == t => self.front(i, life, FrontIn::Wakeup),
            Ev::WakeC(..) | Ev::WakeF(..) => (),
            Ev::Synced(i, life, seq) => {
                let n = &mut self.nodes[i];
                if n.life == life && n.up && (self.plant == Plant::LyingDisk || n.synced(seq)) {
                    self.control(i, life, In::Synced(seq));
                }
            }
            Ev::Back { node, life, token, server, path, body, gone } => {
                self.back(node, life, token, server, path, body, gone)
            }
            Ev::Client(c, turn) => self.client(c, turn),
            Ev::Reply { call, res } => self.reply(call, res),
            Ev::Promote { node, life, db, server, epoch } => self.promote(node, life, db, server, epoch),
            Ev::World => {
                self.world.tick(self.now);
                self.look();
                self.at(self.now + 10, Ev::World);
            }
            Ev::Announce => self.announce(),
            Ev::Fault(f) => self.fault(f),
        }
    }

    fn frozen(&mut self, i: usize, life: u32) -> Option<bool> {
        let n = &self.nodes[i];
        (n.up && n.life == life).then_some(n.frozen)
    }

    pub fn control(&mut self, i: usize, life: u32, x: In) {
        match self.frozen(i, life) {
            None => return,
            Some(true) => return self.at(self.now + 20, Ev::Control(i, life, x)),
            Some(false) => (),
        }
        let local = self.nodes[i].local(self.now);
        let e = self.nodes[i].control.as_mut().map(|c| c.poll(local, x));
        e.into_iter().for_each(|e| self.effect(i, e));
    }

    pub fn effect(&mut self, i: usize, e: Effect) {
        let life = self.nodes[i].life;
        let now = self.now;
        self.nodes[i].logs.extend(e.log.into_iter().map(|t| (now, t)));
        for (to, p) in e.send {
            self.post(i, to, p);
        }
        if let Some((seq, recs)) = e.write {
            let n = &mut self.nodes[i];
            n.disk_free = n.disk_free.max(self.now) + n.sync_ms;
            n.writing.push((seq, recs));
            let t = n.disk_free;
            self.at(t, Ev::Synced(i, life, seq));
        }
        for (call, r) in e.response {
            self.operator_told(call, r);
        }
        if let Some((t, until)) = e.news {
            let until = if self.plant == Plant::PermitForever { Time::MAX / 2 } else { until };
            self.front(i, life, FrontIn::Table(t, until));
        }
        for p in e.promote {
            let wait = match self.mood {
                Mood::Slow => 4000,
                _ => 1000,
            };
            self.at(self.now + wait, Ev::Promote { node: i, life, db: p.db, server: p.server, epoch: p.epoch });
        }
        let w = self.nodes[i].global(e.wakeup).max(self.now + 1);
        self.nodes[i].wake_c = w;
        self.at(w, Ev::WakeC(i, life, w));
    }

    fn post(&mut self, i: usize, to: Addr, p: Packet) {
        let k = match p.msg {
            Msg::Probe { .. } | Msg::ProbeAck { .. } | Msg::ProbeFor { .. } => "gossip",
            Msg::Carry { .. } | Msg::Carried { .. } => "traffic",
            Msg::Append { .. } | Msg::Have { .. } | Msg::Propose { .. } | Msg::Outcome { .. } => "chain",
            Msg::Sights { .. } => "sights",
            _ => "permits",
        };
        let size = if k == "gossip" { tenet::wire::encode(&p).len() as u64 } else { 0 };
        let m = self.messages.entry(k).or_default();
        *m = (m.0 + 1, m.1 + size);
        let Some(j) = self.nodes.iter().position(|n| n.addr == to) else { return };
        let (a, b) = (self.nodes[i].domain.clone(), self.nodes[j].domain.clone());
        let lost = self.lost_node.is_some_and(|x| x == i || x == j);
        let stream = matches!(p.msg, Msg::Carry { .. } | Msg::Carried { .. });
        let dropped = !stream && self.roll(200) == 0;
        if self.cut(&a, &b) || lost || dropped || !self.nodes[j].up {
            return;
        }
        let t = self.now + self.travel(&a, &b);
        let life = self.nodes[j].life;
        let ev = match p.msg {
            Msg::Carry { go, to, by, load } => Ev::Front(j, life, FrontIn::Carry { from: p.from, addr: p.addr, go, to, by, load }),
            Msg::Carried { go, clock, done } => Ev::Front(j, life, FrontIn::Carried { from: p.from, go, clock, done }),
            _ => Ev::Control(j, life, In::Packet(p)),
        };
        self.at(t, ev);
    }

    pub fn front(&mut self, i: usize, life: u32, x: FrontIn) {
        match self.frozen(i, life) {
            None => return,
            Some(true) => return self.at(self.now + 20, Ev::Front(i, life, x)),
            Some(false) => (),
        }
        let local = self.nodes[i].local(self.now);
        let Some(f) = self.nodes[i].front.as_mut() else { return };
        let o = f.poll(local, x);
        let (from, addr) = (f.me, f.addr);
        for (a, msg) in o.send {
            self.post(i, a, Packet { from, addr, cluster: 0, msg });
        }
        for (call, r) in o.response {
            let res = match r {
                Ok(v) => BackRes::Ok(v),
                Err(e) => BackRes::Rejected(e.kind.row().code, format!("{}/{}", e.kind.row().kept, e)),
            };
            self.at(self.now + 1, Ev::Reply { call, res });
        }
        if !o.sights.is_empty() {
            self.control(i, life, In::Sights(o.sights));
        }
        for (db, since) in o.clean {
            self.control(i, life, In::Clean { db, since });
        }
        for b in o.back {
            self.call_server(i, life, b);
        }
        let w = self.nodes[i].global(o.wakeup).max(self.now + 1);
        self.nodes[i].wake_f = w;
        self.at(w, Ev::WakeF(i, life, w));
    }

    fn call_server(&mut self, i: usize, life: u32, b: BackCall) {
        let token = b.token;
        let local = self.nodes[i].local(self.now);
        let s = (0..self.world.servers.len()).find(|s| server_addr(*s) == b.to);
        let (Some(s), true) = (s, local < b.not_after) else {
            return self.at(self.now + 1, Ev::Front(i, life, FrontIn::Back { token, res: BackRes::NotSent }));
        };
        let (a, d) = (self.nodes[i].domain.clone(), self.world.servers[s].domain.clone());
        let gone = self.cut(&a, &d) || self.lost_node == Some(i);
        let lost = self.now + b.timeout;
        self.at(lost, Ev::Front(i, life, FrontIn::Back { token, res: BackRes::Lost }));
        if !gone {
            let cost = match b.path {
                "/connect" => 20,
                "/statement" | "/commit" => 2,
                _ => 0,
            };
            let t = self.now + self.travel(&a, &d) + cost;
            let body = b.body;
            self.at(t, Ev::Back { node: i, life, token, server: s, path: b.path, body, gone: false });
        }
    }

    pub fn out(res: &BackRes) -> Out {
        match res {
            BackRes::Ok(_) => Out::Kept,
            BackRes::Rejected(_, w) if w.starts_with("nothing") => Out::Nothing,
            BackRes::NotSent => Out::Nothing,
            _ => Out::Unknown,
        }
    }
}
