//! Operators' orders on servers that number their terms, and the verdict on such a run: broken rules, and what was
//! acknowledged and lost with a promotion.

use crate::fault::Fault;
use crate::node::Node;
use crate::sim::*;
use crate::wires::End;
use guise::judge::{judge, Found};
use tenet::base::Time;
use tenet::control::In;
use tenet::state::Op;

impl Sim {
    pub(crate) fn served_since(&self, db: &str, t: Time) -> bool {
        self.termed
            .as_ref()
            .is_some_and(|x| x.served.get(db).is_some_and(|at| *at > t))
    }

    /// What a server says of itself; each word has a higher number than the one before.
    pub(crate) fn announcement(&mut self, s: usize, leaving: bool) -> Op {
        let t = self.termed();
        t.seqs += 1;
        let (seq, x) = (t.seqs, &t.fleet.servers[s]);
        let (server, life, leads) = (x.name.clone(), x.life(), x.leads);
        let w = &self.world.servers[s];
        Op::Announce {
            server,
            addr: server_addr(s),
            domain: w.domain.clone(),
            labels: [("db".to_string(), w.db.clone())].into(),
            life,
            leads,
            leaving,
            terms: true,
            seq,
        }
    }

    /// A server's heartbeat to a node that is up.
    pub(crate) fn announce_one(&mut self, s: usize) {
        let running = |n: &&Node| n.up && !n.frozen;
        let up: Vec<usize> = self.nodes.iter().filter(running).map(|n| n.i).collect();
        if up.is_empty() || !self.world.servers[s].up || self.watch.release.is_silent(s) {
            return;
        }
        let j = up[self.roll(up.len() as u64) as usize];
        let op = self.announcement(s, self.world.servers[s].leaving);
        self.say(s, j, 0, In::Announce { call: 0, op });
    }

    /// Sends what a server has to say to a control machine.
    pub(crate) fn say(&mut self, s: usize, node: usize, late: Time, word: In) {
        let life = self.nodes[node].life;
        let event = Ev::Control(node, life, word);
        self.pipe(End::Server(s), End::Node(node), None, 1 + late, event);
    }

    pub(crate) fn publish(&mut self) {
        let Some(t) = self.termed.as_mut() else {
            return;
        };
        t.versions += 3;
        let (version, text) = (t.versions, crate::days::text(600 + t.versions));
        let document = tenet::base::digest(text.as_bytes());
        let k = self.operator(Op::Publish {
            version,
            document,
            text,
        });
        self.watch.config_calls.push(k);
    }

    /// A leaving server ends; its log passes to a new one at its address.
    pub(crate) fn departs(&mut self, s: usize) {
        let Some(t) = self.termed.as_ref().filter(|t| t.fleet.servers[s].up) else {
            return;
        };
        let server = t.fleet.servers[s].name.clone();
        self.crash(s);
        self.operator(Op::Depart { server, seq: 0 });
        self.at(self.now + 1500, Ev::Fault(Fault::Follow(s)));
    }

    pub(crate) fn follows(&mut self, s: usize) {
        let Some(t) = self.termed.as_mut() else {
            return;
        };
        t.fleet.servers[s].name.push('x');
        self.world.servers[s].name.push('x');
        self.restart(s);
    }

    /// Faults, and what was acknowledged and cut back by a promotion.
    pub fn judged(&self) -> Found {
        let Some(t) = self.termed.as_ref() else {
            return Found::default();
        };
        let mut v = judge(&t.book, &t.fleet, !self.watch.rough);
        for o in &self.history.off {
            let late = |r: &&guise::termed::Run| {
                t.fleet.servers[r.server].name == o.server
                    && r.txn.is_none()
                    && r.at > o.since + o.bound
                    && r.at < o.until
            };
            let n = t.fleet.runs.iter().filter(late).count();
            if n > 0 {
                v.faults.push(format!(
                    "leaving: {} got {n} statements more than {} ms after {}",
                    o.server, o.bound, o.since
                ));
            }
        }
        v.faults.extend(self.watch.faults.clone());
        v
    }
}
