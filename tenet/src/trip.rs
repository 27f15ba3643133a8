use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::ledger::{self, End, Go, Move, Plan, To};
use crate::route;
use crate::session::*;
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
            t.why = why.clone();
            let id = t.load.id.clone();
            self.traces.tell(now, &id, format!("go {n} ended: {why}"));
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
            Err(r) => self.go_end(now, i, n, End::Rejected(r.kind), r.to_string(), out),
        }
    }

    fn too_old(&self, now: Time, i: usize, d: &Done) -> bool {
        let t = &self.trips[i];
        let last = t.gos.last().map(|g| g.to);
        let (For::Caller { session, .. }, Some(b), Some(To::Replica(s))) =
            (&t.owner, t.bound, last)
        else {
            return false;
        };
        let (Some(db), Some(table)) = (self.sessions.get(session).map(|s| s.db), self.t.as_ref())
        else {
            return true;
        };
        let age = match table.dbs[db].can.guards {
            true => self.marks[db].age(now, table.dbs[db].epoch, t.load.after),
            false => self.proof(now, table, db, s, d.pos),
        };
        age.is_none_or(|a| a >= by_slow_clock(b))
    }

    fn trip_end(&mut self, now: Time, i: usize, give: Option<Kind>, out: &mut FrontOut) {
        let t = self.trips.remove(i);
        self.gos.remove(&t.go_id);
        match &t.owner {
            For::Pos { db } => {
                if let Some(d) = t.done.filter(|_| give.is_none()) {
                    self.marks[*db].add(d.epoch, t.born.saturating_sub(d.age), d.pos);
                }
            }
            For::Caller { call, session } => {
                let (call, session) = (*call, *session);
                let r = match (give, &t.done) {
                    (None, Some(d)) => Ok(d.clone()),
                    (k, _) => Err(Reject::new(k.unwrap_or(Kind::Unknown), t.why.clone())),
                };
                let text = match &r {
                    Ok(d) => format!("answered from {} after {} ms", d.server, now - t.born),
                    Err(r) => format!("given up after {} ms: {r}", now - t.born),
                };
                self.traces.tell(now, &t.load.id, text);
                self.served += 1;
                self.observe(session, &t, &r);
                self.settle(now, session, &t, &r);
                out.response.push((call, r.map(|d| self.answer(&t, d))));
            }
        }
    }

    fn observe(&mut self, session: u64, t: &Trip, r: &Result<Done, Reject>) {
        let last = t.gos.last().filter(|g| matches!(g.to, To::Gateway(_)));
        if let (Some(g), Ok(d), Some(s)) = (last, r, self.sessions.get(&session)) {
            if d.pos > 0 {
                self.marks[s.db].add(d.epoch, g.at, d.pos);
            }
        }
    }

    fn settle(&mut self, now: Time, session: u64, t: &Trip, r: &Result<Done, Reject>) {
        let Some(s) = self.sessions.get_mut(&session) else {
            return;
        };
        s.busy = false;
        s.last = now;
        if let Ok(d) = r {
            if t.load.writes || t.load.act.commits() {
                s.mark = s.mark.max(d.pos);
            }
        }
        match (&t.load.act, r) {
            (Act::Begin | Act::First, Ok(d)) => {
                let via = match t.gos.last().map(|g| g.to) {
                    Some(To::Gateway(g)) => g,
                    _ => 0,
                };
                s.txn = Some(TxnAt {
                    key: t.load.txn,
                    id: t.load.id.clone(),
                    fence: d.fence,
                    via,
                    epoch: d.epoch,
                    state: TxnState::Open,
                });
            }
            (Act::Commit, _) => s.txn = None,
            (Act::Step, Err(e)) if e.kind != Kind::Failed => {
                if let Some(x) = s.txn.as_mut() {
                    x.state = TxnState::Broken(e.to_string());
                }
            }
            _ => (),
        }
    }

    fn answer(&self, t: &Trip, done: Done) -> Answer {
        let (id, step, leaving) = (
            t.load.id.clone(),
            matches!(t.load.act, Act::Step | Act::First),
            self.leaving.is_some(),
        );
        Answer::Ran(Box::new(Ran {
            id,
            done,
            tries: t.gos.len(),
            step,
            leaving,
        }))
    }
}
