//! The data plane of one node: takes callers' requests, packets, answers of servers and new tables, and gives
//! packets, calls to servers and answers. Without a valid lease it sends no work to a primary.

use crate::base::*;
use crate::fresh::{Known, Marks};
use crate::grace::Grace;
pub use crate::held::*;
pub use crate::inbound::FrontIn;
use crate::job::Job;
use crate::kind::{Kind, Reject};
use crate::leaving::{Certainty, NewWork};
use crate::peers::Peers;
use crate::plant::{planted, Bug};
use crate::pool::{Pool, Rules};
pub use crate::query::*;
pub use crate::session::Answer;
use crate::session::*;
use crate::table::Table;
use crate::trace::Traces;
use crate::trip::Trip;
use crate::verdict::Standing;
use crate::wire::*;
use slab::Slab;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Seeds the numbers that a process gives, so that no life of a process gives those of another.
fn own_numbers(me: NodeId, seed: u64) -> u64 {
    match planted(Bug::IncarnationIgnored) {
        true => mix(seed ^ 77),
        false => mix(seed ^ 77 ^ mix(me)),
    }
}

pub struct BackCall {
    pub token: u64,
    pub to: Addr,
    pub query: Query,
    pub not_after: Time,
    pub timeout: Time,
}

#[derive(Default)]
pub struct FrontOut {
    pub send: Vec<(Addr, Msg)>,
    pub back: Vec<BackCall>,
    pub response: Vec<(u64, Result<Answer, Reject>)>,
    pub sights: Vec<Sight>,
    pub clean: Vec<(String, Mark)>,
    pub log: Vec<String>,
    pub wakeup: Time,
}

pub struct Front {
    pub me: NodeId,
    pub addr: Addr,
    pub t: Option<Arc<Table>>,
    pub until: Time,
    pub(crate) leaving: Option<Time>,
    pub(crate) stop_at: Option<Time>,
    pub(crate) grace: Grace,
    pub(crate) ids: Ids,
    pub(crate) sessions: BTreeMap<u64, Session>,
    pub(crate) trips: Slab<Trip>,
    pub(crate) jobs: Slab<Job>,
    pub(crate) gos: BTreeMap<u64, Attempt>,
    pub(crate) clocks: BTreeMap<NodeId, (Time, Time)>,
    pub(crate) relays: BTreeMap<u64, Relay>,
    pub(crate) pools: Vec<Pool>,
    pub(crate) known: Vec<Known>,
    pub(crate) marks: Vec<Marks>,
    pub(crate) closing_at: Vec<(Mark, Time)>,
    pub(crate) txns: BTreeMap<u64, TxnHeld>,
    pub(crate) uses: BTreeMap<u64, Use>,
    pub(crate) polled: Vec<Time>,
    /// Whether each server of the table gets new work.
    pub(crate) new_work: Vec<NewWork>,
    pub(crate) standings: Vec<Standing>,
    pub(crate) asked: Vec<Time>,
    /// When a read last wanted the primary's position of each database.
    pub(crate) wanted: Vec<Time>,
    pub(crate) traces: Traces,
    pub(crate) turn: u64,
    pub(crate) served: u64,
    pub(crate) sights_at: Time,
    pub(crate) swept_at: Time,
    pub(crate) polled_at: Time,
    pub(crate) paused_until: Time,
    pub(crate) peers: Peers,
}

impl Front {
    pub fn new(me: NodeId, addr: Addr, seed: u64) -> Self {
        Front {
            me,
            addr,
            t: None,
            until: 0,
            leaving: None,
            stop_at: None,
            grace: Grace::default(),
            ids: Ids::new(own_numbers(me, seed)),
            sessions: BTreeMap::new(),
            trips: Slab::new(),
            jobs: Slab::new(),
            gos: BTreeMap::new(),
            clocks: BTreeMap::new(),
            relays: BTreeMap::new(),
            pools: Vec::new(),
            known: Vec::new(),
            marks: Vec::new(),
            closing_at: Vec::new(),
            txns: BTreeMap::new(),
            uses: BTreeMap::new(),
            polled: Vec::new(),
            new_work: Vec::new(),
            standings: Vec::new(),
            asked: Vec::new(),
            wanted: Vec::new(),
            traces: Traces::default(),
            turn: mix(seed),
            served: 0,
            sights_at: 0,
            swept_at: 0,
            polled_at: 0,
            paused_until: 0,
            peers: Peers::default(),
        }
    }

    pub fn allows(&self, now: Time) -> bool {
        self.t.is_some() && (now < self.until || planted(Bug::SendUnchecked))
    }

    pub fn idle(&self) -> bool {
        self.trips.is_empty()
            && self.jobs.is_empty()
            && self.relays.is_empty()
            && self.txns.is_empty()
    }

    pub(crate) fn table(&self) -> Result<Arc<Table>, Reject> {
        self.t
            .clone()
            .ok_or_else(|| Reject::new(Kind::Starting, "no configuration confirmed yet"))
    }

    pub(crate) fn rules(&self) -> Rules {
        let p = self
            .t
            .as_ref()
            .map(|t| t.cfg.pool.clone())
            .unwrap_or_default();
        Rules {
            queue: p.queue,
            warm_ms: p.warm_ms,
            keep: p.keep_idle_ms,
        }
    }

    pub fn poll(&mut self, now: Time, i: FrontIn) -> FrontOut {
        let mut out = FrontOut::default();
        if self.polled_at > 0 && now > self.polled_at + PAUSE {
            self.paused_until = now + PAUSE_OVER;
            out.log.push(format!(
                "this node was paused for {} ms",
                now - self.polled_at
            ));
        }
        self.polled_at = now;
        match i {
            FrontIn::Wakeup => (),
            FrontIn::Table(t, until) => self.new_table(now, t, until, &mut out),
            FrontIn::Call { call, req } => self.call(now, call, req, &mut out),
            FrontIn::Carry { asker, by, load } => {
                self.peers.heard(asker.node);
                self.carry(now, asker, by, load, &mut out)
            }
            FrontIn::Echo { from, addr, reply } => {
                self.peers.heard(from);
                out.send
                    .extend((!reply).then_some((addr, Msg::Echo { reply: true })));
            }
            FrontIn::Carried {
                from,
                to,
                asked,
                go,
                clock,
                done,
            } => {
                self.peers.heard(from);
                self.clocks.insert(from, (clock, now));
                self.carried(now, to, asked, go, done, &mut out)
            }
            FrontIn::Back { token, res } => match self.uses.remove(&token) {
                Some(Use::Poll(s, at)) => self.poll_back(now, s, at, res),
                Some(Use::Job(j)) if self.jobs.contains(j) => {
                    self.job_back(now, j, token, res, &mut out)
                }
                _ => (),
            },
            FrontIn::Stopping => self.stop(now),
        }
        self.tick(now, &mut out);
        let own: Vec<Msg> = {
            let (own, far): (Vec<_>, Vec<_>) =
                out.send.drain(..).partition(|(a, _)| *a == self.addr);
            out.send = far;
            own.into_iter().map(|(_, m)| m).collect()
        };
        for msg in own {
            let packet = Packet {
                from: self.me,
                addr: self.addr,
                cluster: 0,
                msg,
            };
            let Ok(input) = FrontIn::from_packet(packet) else {
                continue;
            };
            let x = self.poll(now, input);
            out.send.extend(x.send);
            out.back.extend(x.back);
            out.response.extend(x.response);
            out.sights.extend(x.sights);
            out.clean.extend(x.clean);
            out.log.extend(x.log);
        }
        let busy = !self.idle();
        out.wakeup = now + if busy { 5 } else { 20 };
        out
    }

    fn new_table(&mut self, now: Time, t: Arc<Table>, until: Time, out: &mut FrontOut) {
        let lease_until = self.until;
        self.until = self.until.max(until);
        if self.t.as_ref().is_some_and(|o| Arc::ptr_eq(o, &t)) {
            return;
        }
        while self.pools.len() < t.servers.len() {
            let s = &t.servers[self.pools.len()];
            self.pools.push(Pool::new(s.life, now));
            self.known.push(Known {
                heard: now,
                ..Known::default()
            });
            self.polled.push(0);
            self.new_work.push(NewWork::default());
        }
        while self.marks.len() < t.dbs.len() {
            self.marks.push(Marks::default());
            self.closing_at.push((0, 0));
            self.asked.push(0);
            self.wanted.push(0);
        }
        let old = self.t.clone();
        let certain = Certainty {
            table: old.as_deref(),
            lease_until,
        };
        for (i, s) in t.servers.iter().enumerate() {
            if self.pools[i].life != s.life && !planted(Bug::IncarnationIgnored) {
                for conn in self.pools[i].renew(s.life, now) {
                    self.send_close(now, i, conn, out);
                }
            }
            self.new_work[i] = self.new_work[i].next(s, certain.in_service_at(i), now);
        }
        self.set_shares(now, &t);
        for (i, d) in t.dbs.iter().enumerate() {
            if self.closing_at[i].0 != d.since {
                self.closing_at[i] = (d.since, now);
                let lead = self
                    .t
                    .as_ref()
                    .and_then(|o| o.dbs.get(i))
                    .and_then(|o| o.primary);
                if let Some(p) = d.primary.filter(|p| lead.is_some() && lead != Some(*p)) {
                    self.pools[p].begun = now;
                }
            }
        }
        self.leaving = match t.closed.is_some() || self.stop_at.is_some() {
            true => self.leaving.or(Some(now)),
            false => None,
        };
        self.t = Some(t);
        self.drop_old_txns(now, out);
    }

    pub(crate) fn use_token(&mut self, u: Use) -> u64 {
        let k = self.ids.take();
        self.uses.insert(k, u);
        k
    }
}
