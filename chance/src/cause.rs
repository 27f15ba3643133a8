//! Carries out a fault of a script on nodes, servers and links, and notes whether it found its target and whether
//! the run still counts as planned work only.

use crate::fault::*;
use crate::sim::*;
use guise::check::Off;
use tenet::state::Op;

impl Sim {
    fn takes(&self, f: &Fault) -> bool {
        let up = |i: &usize| self.nodes[*i].up;
        let server = |n: &str| self.server(n).is_some_and(|s| self.world.servers[s].up);
        match f {
            Fault::Kill(i)
            | Fault::Stop(i)
            | Fault::Wipe(i)
            | Fault::Freeze(i)
            | Fault::Move(i, _) => up(i) && !self.nodes[*i].frozen,
            Fault::Crash(n) | Fault::Retire(n) | Fault::Stall(n, true) | Fault::CutServer(n, _) => {
                server(n)
            }
            Fault::FreezeFencer(d, k) => self.fencer(d, *k).is_some_and(|i| up(&i)),
            Fault::KillHead => self.seat(true).is_some(),
            Fault::KillTail => self.seat(false).is_some(),
            Fault::KillDomain(d) => self.in_domain(d).iter().any(up),
            _ => true,
        }
    }

    pub fn fault(&mut self, f: Fault) {
        let name = format!("{f:?}").split('(').next().unwrap_or("").to_string();
        let to = if self.takes(&f) {
            &mut self.watch.took
        } else {
            &mut self.watch.vain
        };
        *to.entry(name).or_default() += 1;
        match &f {
            Fault::Stop(_)
            | Fault::Leave(_)
            | Fault::Retire(_)
            | Fault::Depart(_)
            | Fault::Follow(_)
            | Fault::Evacuate(_, true)
            | Fault::Drain(_, true) => self.watch.planned.push(self.now),
            Fault::Start(_)
            | Fault::Configure
            | Fault::StaleConfigure
            | Fault::BadConfigure
            | Fault::Evacuate(..)
            | Fault::Drain(..)
            | Fault::Relabel(_)
            | Fault::Race(_)
            | Fault::Roll(_)
            | Fault::Wire(..) => (),
            f => {
                self.watch.unplanned = true;
                self.watch.rough |= !matches!(f, Fault::Platform(_) | Fault::LoseAnswers(_));
            }
        }
        match f {
            Fault::Kill(i) => self.kill(i),
            Fault::Start(i) => self.boot(i),
            Fault::Wipe(i) => {
                self.kill(i);
                self.nodes[i].platter.wipe();
            }
            Fault::Stop(i) => self.stop(i),
            Fault::Move(i, to) => {
                self.kill(i);
                let d: Vec<String> = self.cfg.domains.keys().cloned().collect();
                self.nodes[i].domain = d[to as usize % d.len()].clone();
                self.nodes[i].addr.port += 1;
                self.boot(i);
            }
            Fault::FullDisk(i, on) => self.nodes[i].platter.full = on,
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
                (0..self.world.servers.len())
                    .filter(|s| self.world.servers[*s].domain == d)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|s| self.crash(s));
            }
            Fault::StartDomain(d) => {
                self.in_domain(&d).into_iter().for_each(|i| self.boot(i));
                let v: Vec<usize> = (0..self.world.servers.len())
                    .filter(|s| self.world.servers[*s].domain == d)
                    .collect();
                v.into_iter().for_each(|s| self.restart(s));
            }
            Fault::Cut(a, b) => self.cuts.push((a, b)),
            Fault::CutNode(i) => self.lost_node = Some(i),
            Fault::CutLink(a, b) => self.lost_links.push((a, b)),
            Fault::CutServer(n, way) => self
                .server(&n)
                .into_iter()
                .for_each(|s| self.lost_servers.push((s, way))),
            Fault::Heal => {
                self.watch.heal_at = self.now;
                self.cuts.clear();
                self.lost_servers.clear();
                self.lost_node = None;
                self.lost_links.clear();
            }
            Fault::Crash(n) => self.server(&n).into_iter().for_each(|s| self.crash(s)),
            Fault::CrashTarget(db) => {
                let c = self
                    .nodes
                    .iter()
                    .filter_map(|n| n.control.as_ref())
                    .max_by_key(|c| c.state().mark);
                let t = c
                    .and_then(|c| c.state().dbs.get(&db))
                    .and_then(|d| d.target.clone());
                t.and_then(|t| self.world.ix(&t))
                    .into_iter()
                    .for_each(|s| self.crash(s));
            }
            Fault::Restart(n) => self.server(&n).into_iter().for_each(|s| self.restart(s)),
            Fault::Replace(n) => self.server(&n).into_iter().for_each(|s| {
                self.world.replace(self.now, s);
                self.stays(s);
            }),
            Fault::Retire(n) => {
                if let Some(s) = self.server(&n) {
                    self.world.servers[s].leaving = true;
                    let name = self.world.servers[s].name.clone();
                    self.history.off.push(Off {
                        server: name,
                        since: self.now,
                        until: u64::MAX,
                        bound: 7000,
                    });
                    if self.termed.is_some() {
                        self.at(self.now + 9000, Ev::Fault(Fault::Depart(s)));
                    }
                }
            }
            Fault::Depart(s) => self.departs(s),
            Fault::Follow(s) => self.follows(s),
            Fault::Stall(n, on) => self
                .server(&n)
                .into_iter()
                .for_each(|s| self.world.servers[s].stalled = on),
            Fault::LoseAnswers(p) => self.lose = p,
            Fault::Platform(m) => self.mood = m,
            Fault::Evacuate(d, on) => self.evacuate(d, on),
            Fault::Race(step) => self.race(step),
            Fault::Roll(step) => self.roll_step(step),
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
            Fault::FreezeFencer(db, k) => self
                .fencer(&db, k)
                .into_iter()
                .for_each(|i| self.nodes[i].frozen = true),
            Fault::KillHead => self.seat(true).into_iter().for_each(|i| self.kill(i)),
            Fault::KillTail => self.seat(false).into_iter().for_each(|i| self.kill(i)),
            Fault::Relabel(n) => self.relabel(n),
            Fault::Wire(i, w) => self.nodes[i].wire = w,
            Fault::Rebuild => {
                let old = |i: &usize| {
                    self.world.servers[*i].leads
                        && self.world.leader(&self.world.servers[*i].db) != Some(*i)
                };
                let v: Vec<usize> = (0..self.world.servers.len()).filter(old).collect();
                v.into_iter().for_each(|s| self.restart(s));
            }
            Fault::CallersStop => self.stop_clients = true,
            Fault::Remove(i) => self.remove(i),
            Fault::Leave(i) => self.leave(i),
            Fault::Return(i) => self.come_back(i),
            Fault::AfterAck(f) => self.watch.after_ack = Some(*f),
        }
    }

    fn fencer(&self, db: &str, k: usize) -> Option<usize> {
        let c = self.nodes.iter().filter_map(|n| n.control.as_ref());
        let id = c
            .filter_map(|c| c.state().dbs.get(db))
            .map(|d| d.fencers.clone())
            .next()?
            .get(k)
            .copied();
        self.nodes
            .iter()
            .position(|n| n.control.as_ref().is_some_and(|c| Some(c.me.id) == id))
    }

    fn thaw(&mut self, i: usize) {
        let now = self.now;
        std::mem::take(&mut self.held)
            .into_iter()
            .for_each(|e| self.at(now + 1, e));
        if self.nodes[i].frozen {
            self.nodes[i].frozen = false;
            self.nodes[i].thawed = self.now;
        }
    }

    fn seat(&self, head: bool) -> Option<usize> {
        let c = self
            .nodes
            .iter()
            .filter(|n| n.up && n.disk)
            .filter_map(|n| n.control.as_ref());
        let v = c.map(|c| c.view()).max_by_key(|v| v.n)?;
        let s = if head {
            v.chain.first()
        } else {
            v.chain.last()
        }?
        .id;
        self.nodes
            .iter()
            .position(|n| n.control.as_ref().is_some_and(|c| c.me.id == s))
    }

    pub fn server(&self, n: &str) -> Option<usize> {
        self.world.leader(n).or_else(|| self.world.ix(n))
    }
}
