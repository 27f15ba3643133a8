//! A request under way on the node that took it in: sends what `ledger` says, notes how each attempt ended, and
//! wakes when the next is due.

use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::ledger::{self, End, Go, Move, Plan, To};
use crate::route;
use crate::wire::*;

pub enum For {
    Caller { call: u64, session: u64 },
    Pos { db: usize },
}

pub struct Trip {
    pub owner: For,
    pub load: Load,
    pub plan: Plan,
    pub gos: Vec<Go>,
    pub go_id: u64,
    pub born: Time,
    pub wake: Time,
    pub bound: Option<Time>,
    pub done: Option<Done>,
    pub why: String,
}

impl Trip {
    pub fn new(now: Time, owner: For, load: Load, plan: Plan, bound: Option<Time>) -> Trip {
        let (gos, why) = (Vec::new(), String::new());
        Trip {
            owner,
            load,
            plan,
            gos,
            go_id: 0,
            born: now,
            wake: now,
            bound,
            done: None,
            why,
        }
    }

    /// What the caller of a request that is given up is told: why the last attempt led to nothing, word for word.
    pub fn refusal(&self, given: Kind) -> Reject {
        match self.gos.last().map(|attempt| attempt.end) {
            Some(End::Rejected(last)) if last != given => {
                Reject::new(given, format!("{last}: {}", self.why))
            }
            _ => Reject::new(given, self.why.clone()),
        }
    }
}

impl Front {
    pub(crate) fn trip_start(&mut self, now: Time, t: Trip, out: &mut FrontOut) {
        let i = self.trips.insert(t);
        self.trip_next(now, i, out);
    }

    /// A request taken in before its database had gateways gets those of now.
    fn trip_gateways(&mut self, i: usize) {
        let (Some(t), Some(x)) = (self.t.clone(), self.trips.get(i)) else {
            return;
        };
        if x.plan.gateways.is_empty() && x.plan.none == Kind::NoPrimary && x.plan.patience > x.born
        {
            let d = t.db_ix.get(&x.load.db).map(|d| &t.dbs[*d]);
            let v = d.map(|d| route::gateways(&t, d, &x.load, self.turn, &self.peers.silent));
            self.trips[i].plan.gateways = v.unwrap_or_default();
        }
    }

    pub(crate) fn trip_next(&mut self, now: Time, i: usize, out: &mut FrontOut) {
        self.trip_gateways(i);
        let key = self.ids.take();
        let t = &mut self.trips[i];
        match ledger::next(&t.plan, &t.gos, now) {
            Move::Send { to, look_up } => {
                if matches!(t.load.act, Act::Begin | Act::First | Act::Whole) {
                    t.load.txn = key;
                }
                t.gos.push(Go {
                    to,
                    at: now,
                    end: End::Open,
                    end_at: now,
                });
                let budget = t.plan.deadline - now;
                let mut load = Load {
                    look_up,
                    budget,
                    ..t.load.clone()
                };
                load.hops = vec![self.me];
                let id = load.id.clone();
                let n = t.gos.len();
                match to {
                    To::Gateway(g) => self.trip_send(now, i, g, load, out),
                    To::Replica(s) => {
                        let name = self
                            .t
                            .as_ref()
                            .map_or(String::new(), |t| t.servers[s].name.clone());
                        self.traces.tell(
                            now,
                            &id,
                            format!("go {n}: to replica {name}, recent enough"),
                        );
                        let go = self.ids.take();
                        self.trips[i].go_id = go;
                        self.job_start(now, crate::job::Owner::Trip(i, go), load, s, out);
                    }
                }
            }
            Move::Wait(at) => t.wake = at,
            Move::Rest => {
                let limit = self
                    .t
                    .as_ref()
                    .map_or(1500, |t| t.cfg.timeouts.statement_ms)
                    .max(t.load.limit)
                    + ANSWER_WAIT;
                let at = t.gos.last().map_or(now, |g| g.at);
                if now >= at + limit {
                    let n = t.gos.len();
                    self.go_end(now, i, n, End::Lost, "no answer in time".into(), out);
                } else {
                    t.wake = (at + limit).min(t.plan.deadline);
                }
            }
            Move::Answer => self.trip_end(now, i, None, out),
            Move::Give(k) => self.trip_end(now, i, Some(k), out),
        }
    }

    fn trip_send(&mut self, now: Time, i: usize, g: NodeId, load: Load, out: &mut FrontOut) {
        let addr = self
            .t
            .as_ref()
            .and_then(|t| t.nodes.get(&g))
            .map(|n| n.addr);
        let n = self.trips[i].gos.len();
        let what = if load.look_up {
            ", looking the id up first"
        } else {
            ""
        };
        self.traces
            .tell(now, &load.id, format!("go {n}: to gateway {g:x}{what}"));
        match addr {
            Some(a) => {
                let go = self.ids.take();
                let attempt = Attempt {
                    trip: i,
                    gateway: g,
                };
                self.gos.insert(go, attempt);
                if g != self.me {
                    self.peers.sent(now, g, a);
                }
                self.trips[i].go_id = go;
                let by = self.by(now, g, self.trips[i].plan.deadline);
                out.send.push((
                    a,
                    Msg::Carry {
                        go,
                        to: g,
                        by,
                        load,
                    },
                ));
            }
            None => self.go_end(
                now,
                i,
                n,
                End::Rejected(Kind::NoPrimary),
                "gateway unknown".into(),
                out,
            ),
        }
    }

    pub(crate) fn go_end(
        &mut self,
        now: Time,
        i: usize,
        n: usize,
        end: End,
        why: String,
        out: &mut FrontOut,
    ) {
        if !self.trips.contains(i) || self.trips[i].gos.len() != n {
            return;
        }
        let t = &mut self.trips[i];
        self.gos.remove(&t.go_id);
        if let Some(g) = t.gos.last_mut() {
            g.end = end;
            g.end_at = now;
        }
        if end != End::Done {
            let told = match end {
                End::Rejected(kind) => format!("{kind}: {why}"),
                _ => why.clone(),
            };
            t.why = why;
            let id = t.load.id.clone();
            self.traces.tell(now, &id, format!("go {n} ended: {told}"));
        }
        self.trip_next(now, i, out);
    }

    pub(crate) fn trip_back(
        &mut self,
        now: Time,
        i: usize,
        n: usize,
        r: Result<Done, Reject>,
        out: &mut FrontOut,
    ) {
        match r {
            Ok(d) => {
                let old = self.too_old(now, i, &d);
                let e = if old { End::Old } else { End::Done };
                self.trips[i].done = Some(d);
                self.go_end(
                    now,
                    i,
                    n,
                    e,
                    "its answer proved older than the bound".into(),
                    out,
                );
            }
            Err(r) => self.go_end(now, i, n, End::Rejected(r.kind), r.why, out),
        }
    }
}
