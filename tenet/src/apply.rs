//! Applies one log entry to the replicated state: configuration, evacuations, drains, members, servers and
//! placements. Deterministic, so that every replica comes to the same state; changes of a failover are in
//! `apply_failover`. Returns the log index that the change stands at, or why it was rejected.

use crate::base::*;
use crate::chart;
use crate::kind::{Kind, Reject};
use crate::state::*;

pub(crate) type Res = Result<Mark, Reject>;

pub(crate) fn stale(why: impl Into<String>) -> Reject {
    Reject::new(Kind::StaleBase, why)
}

impl State {
    /// Applies a change by itself; the log index it stands at, or why it is rejected. Rejected, it changes
    /// nothing.
    pub fn step(&mut self, a: &Ask) -> Res {
        let m = self.mark;
        match &a.op {
            Op::Config { .. } | Op::Publish { .. } | Op::Amend { .. } => self.configure(a),
            Op::Confirm {
                version,
                document,
                otherwise,
            } => self.confirm(a.at, *version, *document, otherwise),
            Op::Evacuate { domain, on } => {
                let was = self.evacuated.contains_key(domain);
                if *on != was {
                    self.set_evacuated(domain, *on);
                }
                if *on && !was {
                    self.tell(
                        a.at,
                        domain,
                        format!("domain {domain} evacuated by an operator"),
                    );
                }
                if !*on && was {
                    self.tell(
                        a.at,
                        domain,
                        format!("domain {domain} taken back by an operator"),
                    );
                }
                Ok(m)
            }
            Op::Hold {
                domain,
                on,
                repeat_window,
            } => {
                self.check_hold(domain)?;
                Ok(self.hold(a.at, domain, *on, *repeat_window))
            }
            Op::Drain { server, on } => {
                self.servers
                    .get(server)
                    .ok_or_else(|| Reject::new(Kind::UnknownName, server.clone()))?;
                let was = self.drained.contains_key(server);
                if *on && !was {
                    self.drained.insert(server.clone(), m);
                    self.tell(
                        a.at,
                        server,
                        format!("server {server} draining, an operator asked"),
                    );
                }
                if !*on && was {
                    self.drained.remove(server);
                    self.tell(
                        a.at,
                        server,
                        format!("server {server} taken back by an operator"),
                    );
                }
                self.note_server_off(server);
                Ok(m)
            }
            Op::Enrol {
                id,
                addr,
                http,
                domain,
                disk,
            } => {
                let v = Member {
                    id: *id,
                    addr: *addr,
                    http: *http,
                    domain: domain.clone(),
                    disk: *disk,
                    phase: chart::member().start().into(),
                    at: m,
                };
                self.members.entry(*id).or_insert(v);
                Ok(m)
            }
            Op::Phase { id, event } => self.phase(*id, event),
            Op::Announce { .. } => self.announce(a),
            Op::Depart { server, seq } => self.depart(a.at, server, *seq),
            Op::Place {
                db,
                fencers,
                gateways,
            } => {
                let d = self.dbs.entry(db.clone()).or_insert_with(|| Db {
                    phase: chart::failover().start().into(),
                    ..Db::default()
                });
                d.fencers = fencers.clone();
                d.gateways = gateways.clone();
                let t = format!("{db}: fencing on {fencers:x?}, gateways on {gateways:x?}");
                self.tell(a.at, db, t);
                Ok(m)
            }
            _ => self.failover(a),
        }
    }

    fn phase(&mut self, id: NodeId, event: &str) -> Res {
        let m = self.mark;
        let p = self
            .members
            .get_mut(&id)
            .ok_or_else(|| Reject::new(Kind::UnknownName, "member"))?;
        let to = chart::member()
            .step(&p.phase, event)
            .ok_or_else(|| stale(event))?;
        p.phase = to.into();
        p.at = m;
        if to == "gone" {
            self.members.remove(&id);
        }
        Ok(m)
    }

    fn announce(&mut self, a: &Ask) -> Res {
        if let Some(announced) = Server::told(&a.op) {
            if self.late(&announced) {
                return Ok(self.mark);
            }
            let s = match self.servers.get(&announced.name) {
                Some(held) => announced.over(held),
                None => announced,
            };
            self.displace(a.at, &s);
            let (server, addr, life, leaving) = (&s.name.clone(), s.addr, s.life, s.leaving);
            let o = self.servers.insert(server.clone(), s);
            let born = o.as_ref().is_none_or(|o| o.life != life);
            if born {
                self.drained.remove(server);
                self.tell(
                    a.at,
                    server,
                    format!("server {server} announced itself at {addr}, life {life:x}"),
                );
            }
            if leaving && o.is_none_or(|o| !o.leaving) {
                self.tell(a.at, server, format!("server {server} says it is leaving"));
            }
            self.note_server_off(server);
        }
        Ok(self.mark)
    }
}
