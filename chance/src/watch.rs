use crate::fault::*;
use crate::sim::*;
use guise::check::Off;
use std::collections::BTreeMap;
use tenet::base::*;
use tenet::control::*;
use tenet::kind::Kind;
use tenet::state::{Op, Verdict};

#[derive(Default)]
pub struct Watcher {
    pub faults: Vec<String>,
    pub accepted: Vec<(Time, Mark)>,
    pub evacuated: BTreeMap<String, Time>,
    pub config_base: Mark,
    pub config_calls: Vec<u64>,
    pub config_marks: Vec<Mark>,
    pub bad_sent: Vec<u64>,
    pub stale_sent: Vec<u64>,
    pub first_call: u64,
    pub no_primary: BTreeMap<String, (Time, Time)>,
    pub slowest_adopt: Time,
    pub loss_at: Time,
    pub back_after: Time,
}

const BAD: &str = r#"{"name":"x","domains":{},"databases":{},"kinds":{}}"#;

impl Sim {
    pub fn operator(&mut self, op: Op) -> u64 {
        let up: Vec<usize> = self.nodes.iter().filter(|n| n.up && !n.frozen).map(|n| n.i).collect();
        self.next_call += 1;
        let call = self.next_call;
        if up.is_empty() {
            return call;
        }
        let i = up[self.roll(up.len() as u64) as usize];
        let life = self.nodes[i].life;
        self.at(self.now + 1, Ev::Control(i, life, In::Ask { call, id: None, op }));
        call
    }

    pub fn configure(&mut self) {
        let mut c = self.cfg.clone();
        c.timeouts.patience_ms = 2500 + self.watch.accepted.len() as u64;
        let text = serde_json::to_string(&c).unwrap_or_default();
        let base = self.watch.config_base;
        let k = self.operator(Op::Config { base, text });
        self.watch.config_calls.push(k);
    }

    pub fn stale_configure(&mut self) {
        let text = self.text.clone();
        let base = self.watch.config_base + 7_000_000;
        let k = self.operator(Op::Config { base, text });
        self.watch.stale_sent.push(k);
    }

    pub fn bad_configure(&mut self) {
        let base = self.watch.config_base;
        let k = self.operator(Op::Config { base, text: BAD.into() });
        self.watch.bad_sent.push(k);
    }

    pub fn operator_told(&mut self, call: u64, r: Reply) {
        if call == 0 {
            return;
        }
        let (bad, stale) = (self.watch.bad_sent.contains(&call), self.watch.stale_sent.contains(&call));
        match r {
            Reply::Verdict(Verdict { reject: None, .. }) if bad || stale => {
                self.watch.faults.push(format!("configuration: one that is {} was accepted", if bad { "bad" } else { "stale" }));
            }
            Reply::Verdict(Verdict { mark, reject: None }) => {
                self.watch.accepted.push((self.now, mark));
                if self.watch.config_calls.contains(&call) {
                    self.watch.config_base = self.watch.config_base.max(mark);
                    self.watch.config_marks.push(mark);
                }
            }
            Reply::Verdict(Verdict { reject: Some(r), .. }) if bad && r.kind != Kind::BadConfig => {
                self.watch.faults.push(format!("configuration: a bad one was answered with {r}"));
            }
            _ => (),
        }
    }

    pub fn look(&mut self) {
        let now = self.now;
        for n in self.nodes.iter_mut().filter(|n| n.up && !n.frozen) {
            let local = n.local(now);
            let Some(f) = n.front.as_ref().filter(|f| f.allows(local)) else { continue };
            let Some(t) = f.t.as_ref() else { continue };
            if t.mark < n.mark {
                self.watch.faults.push(format!("mark: node {} fell from {} to {}", n.i, n.mark, t.mark));
            }
            n.mark = t.mark;
            for (at, m) in &self.watch.accepted {
                if t.mark < *m && now > at + 3000 {
                    self.watch.faults.push(format!("configuration: node {} serves at {} without mark {m} of {at}", n.i, now));
                }
                if t.mark < *m {
                    self.watch.slowest_adopt = self.watch.slowest_adopt.max(now - at);
                }
            }
        }
        self.watch.faults.truncate(50);
    }

    pub fn epoch_of(&self, db: &str) -> Option<(Mark, String, Option<String>)> {
        let c = self.nodes.iter().filter(|n| n.up).filter_map(|n| n.control.as_ref());
        c.filter_map(|c| c.state().dbs.get(db)).map(|d| (d.epoch, d.phase.clone(), d.primary.clone())).max()
    }

    pub fn faults(&self) -> Vec<String> {
        let mut v = guise::check::check(&self.history, &self.world);
        v.extend(self.watch.faults.clone());
        v
    }

    pub fn fault(&mut self, f: Fault) {
        match f {
            Fault::Kill(i) => self.kill(i),
            Fault::Start(i) => self.boot(i),
            Fault::Wipe(i) => {
                self.kill(i);
                self.nodes[i].files.clear();
            }
            Fault::Freeze(i) => self.nodes[i].frozen = true,
            Fault::Thaw(i) => self.thaw(i),
            Fault::ThawAll => (0..self.nodes.len()).for_each(|i| self.thaw(i)),
            Fault::KillAll => {
                self.watch.loss_at = self.now;
                (0..self.nodes.len()).for_each(|i| self.kill(i))
            }
            Fault::StartAll => {
                self.watch.loss_at = self.now;
                (0..self.nodes.len()).for_each(|i| self.boot(i))
            }
            Fault::KillDomain(d) => {
                self.in_domain(&d).into_iter().for_each(|i| self.kill(i));
                (0..self.world.servers.len()).filter(|s| self.world.servers[*s].domain == d).collect::<Vec<_>>().into_iter().for_each(|s| self.world.crash(s));
            }
            Fault::StartDomain(d) => {
                self.in_domain(&d).into_iter().for_each(|i| self.boot(i));
                let v: Vec<usize> = (0..self.world.servers.len()).filter(|s| self.world.servers[*s].domain == d).collect();
                v.into_iter().for_each(|s| self.world.restart(self.now, s));
            }
            Fault::Cut(a, b) => self.cuts.push((a, b)),
            Fault::CutNode(i) => self.lost_node = Some(i),
            Fault::Heal => {
                self.cuts.clear();
                self.lost_node = None;
            }
            Fault::Crash(n) => self.server(&n).into_iter().for_each(|s| self.world.crash(s)),
            Fault::Restart(n) => self.server(&n).into_iter().for_each(|s| self.world.restart(self.now, s)),
            Fault::Replace(n) => self.server(&n).into_iter().for_each(|s| self.world.replace(self.now, s)),
            Fault::Retire(n) => {
                if let Some(s) = self.server(&n) {
                    self.world.servers[s].leaving = true;
                    let name = self.world.servers[s].name.clone();
                    self.history.off.push(Off { server: name, since: self.now, until: u64::MAX, bound: 7000 });
                }
            }
            Fault::Stall(n, on) => self.server(&n).into_iter().for_each(|s| self.world.servers[s].stalled = on),
            Fault::LoseAnswers(p) => self.lose = p,
            Fault::Platform(m) => self.mood = m,
            Fault::Evacuate(d, on) => {
                let since = self.now;
                let v: Vec<String> = self.world.servers.iter().filter(|s| s.domain == d).map(|s| s.name.clone()).collect();
                match on {
                    true => self.history.off.extend(v.into_iter().map(|server| Off { server, since, until: u64::MAX, bound: 5000 })),
                    false => self.history.off.iter_mut().filter(|o| v.contains(&o.server)).for_each(|o| o.until = since),
                }
                self.operator(Op::Evacuate { domain: d, on });
            }
            Fault::Drain(s, on) => {
                self.operator(Op::Drain { server: s, on });
            }
            Fault::Configure => self.configure(),
            Fault::StaleConfigure => self.stale_configure(),
            Fault::BadConfigure => self.bad_configure(),
            Fault::FreezeSending(db, k) => {
                if let Some(i) = self.fencer(&db, k) {
                    self.hold_sends(i);
                    self.nodes[i].frozen = !self.held.is_empty();
                    if self.held.is_empty() {
                        self.at(self.now + 1, Ev::Fault(Fault::FreezeSending(db, k)));
                    }
                }
            }
            Fault::FreezeFencer(db, k) => self.fencer(&db, k).into_iter().for_each(|i| self.nodes[i].frozen = true),
            Fault::KillHead => self.seat(true).into_iter().for_each(|i| self.kill(i)),
            Fault::KillTail => self.seat(false).into_iter().for_each(|i| self.kill(i)),
            Fault::CallersStop => self.stop_clients = true,
        }
    }

    fn fencer(&self, db: &str, k: usize) -> Option<usize> {
        let c = self.nodes.iter().filter_map(|n| n.control.as_ref());
        let id = c.filter_map(|c| c.state().dbs.get(db)).map(|d| d.fencers.clone()).next()?.get(k).copied();
        self.nodes.iter().position(|n| n.control.as_ref().is_some_and(|c| Some(c.me.id) == id))
    }

    fn thaw(&mut self, i: usize) {
        let now = self.now;
        std::mem::take(&mut self.held).into_iter().for_each(|e| self.at(now + 1, e));
        if self.nodes[i].frozen {
            self.nodes[i].frozen = false;
            self.nodes[i].thawed = self.now;
        }
    }

    fn seat(&self, head: bool) -> Option<usize> {
        let c = self.nodes.iter().filter(|n| n.up && n.disk).filter_map(|n| n.control.as_ref());
        let v = c.map(|c| c.view()).max_by_key(|v| v.n)?;
        let s = if head { v.chain.first() } else { v.chain.last() }?.id;
        self.nodes.iter().position(|n| n.control.as_ref().is_some_and(|c| c.me.id == s))
    }

    pub fn server(&self, n: &str) -> Option<usize> {
        self.world.leader(n).or_else(|| self.world.ix(n))
    }

    fn in_domain(&self, d: &str) -> Vec<usize> {
        self.nodes.iter().filter(|n| n.domain == d).map(|n| n.i).collect()
    }

    fn kill(&mut self, i: usize) {
        if self.nodes[i].up {
            let r = self.roll(1 << 20);
            self.nodes[i].crash(r);
            self.node_died(i);
        }
    }

    fn boot(&mut self, i: usize) {
        if self.nodes[i].up {
            return;
        }
        let seeds = (0..3).map(node_addr).collect();
        let (now, seed) = (self.now, self.seed);
        match self.nodes[i].boot(now, seeds, seed) {
            Ok(e) => self.effect(i, e),
            Err(e) => self.watch.faults.push(format!("disk: node {i} cannot read its own disk: {e}")),
        }
    }
}
