//! How a request ends: what its caller is told, and what its session and node learn from it.
use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::ledger::To;
use crate::session::*;
use crate::trip::{For, Trip};
use crate::wire::*;

impl Front {
    pub(crate) fn too_old(&self, now: Time, i: usize, d: &Done) -> bool {
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

    pub(crate) fn trip_end(&mut self, now: Time, i: usize, give: Option<Kind>, out: &mut FrontOut) {
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
                    (kind, _) => Err(t.refusal(kind.unwrap_or(Kind::Unknown))),
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
                s.own_commits.add(s.db, d.pos);
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
