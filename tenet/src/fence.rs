//! The fencing node: takes requests for the primary, holds their transactions, and counts which replicas hold a
//! commit. It sends and acknowledges only under its lease, in the epoch the work began in.

use crate::base::*;
use crate::front::*;
use crate::job::{Job, Owner, Step};
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::table::DbRow;
use crate::wire::*;

pub(crate) const OFF_LONG: &str = "the primary is leaving and has no successor yet";

fn reject(k: Kind, why: impl Into<String>) -> Reject {
    Reject::new(k, why)
}

impl Front {
    pub(crate) fn fence_start(
        &mut self,
        now: Time,
        owner: Owner,
        load: Load,
        db: usize,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.table()?;
        let d = &t.dbs[db];
        let inside = load.act.inside();
        let p = match (d.phase.as_str(), d.primary) {
            ("steady", Some(p)) => p,
            ("closing", Some(p)) if inside || load.look_up => p,
            ("closing", Some(p))
                if load.act == Act::Pos || !load.writes && load.act == Act::Single =>
            {
                p
            }
            ("closing", _) => {
                return Err(reject(
                    Kind::NoPrimary,
                    "the primary is leaving, its successor is being made ready",
                ))
            }
            (ph, _) => {
                return Err(reject(
                    Kind::NoPrimary,
                    format!("no primary takes writes, failover is at '{ph}'"),
                ))
            }
        };
        if !inside && !load.look_up && load.act != Act::Pos && self.new_work[p].is_over(now) {
            return Err(reject(Kind::NoPrimary, OFF_LONG));
        }
        if self.stop_at.is_some() && !inside {
            return Err(reject(Kind::Leaving, "this fencing node is stopping"));
        }
        if load.act == Act::Pos {
            return self.tell_pos(now, owner, &load, db, p, out);
        }
        if d.can.confirms
            && (load.writes || matches!(load.act, Act::Begin | Act::First | Act::Whole))
            && d.heirs.is_empty()
        {
            return Err(reject(
                Kind::NoCopies,
                "no replica counts as holding the log yet",
            ));
        }
        if inside {
            return self.txn_step(now, owner, load, db, p, out);
        }
        let mut job = Job::new(now, owner, load, p, db, d.epoch);
        job.life = t.servers[p].life;
        let look = job.load.look_up && job.load.writes;
        let j = self.jobs.insert(job);
        match look {
            true => self.look_up(now, j, Step::LookUp, out),
            false => self.job_take(now, j, out),
        }
        Ok(())
    }

    fn tell_pos(
        &mut self,
        now: Time,
        owner: Owner,
        load: &Load,
        db: usize,
        p: usize,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.table()?;
        let (d, k, s) = (&t.dbs[db], &self.known[p], &t.servers[p]);
        if !k.reach || k.life != s.life || !k.leads {
            return Err(reject(Kind::NotCurrent, "the primary was not seen lately"));
        }
        let done = Done {
            body: "null".into(),
            epoch: d.epoch,
            pos: k.pos,
            age: now - k.at,
            fence: self.me,
            repeat: false,
            hops: load.hops.clone(),
            server: s.name.clone(),
        };
        if let Owner::Carry(asker) = owner {
            out.send.push(asker.reply(now, Ok(done)));
        }
        Ok(())
    }

    fn txn_step(
        &mut self,
        now: Time,
        owner: Owner,
        mut load: Load,
        db: usize,
        p: usize,
        out: &mut FrontOut,
    ) -> Result<(), Reject> {
        let t = self.table()?;
        let epoch = t.dbs[db].epoch;
        let held = self
            .txns
            .get_mut(&load.txn)
            .filter(|x| x.epoch == epoch && x.session == load.session && x.server == p);
        match held {
            Some(x) if x.busy && load.act == Act::Rollback => {
                x.epoch = 0;
                Err(reject(
                    Kind::BadState,
                    "a step of this transaction is under way",
                ))
            }
            Some(x) if x.busy => Err(reject(
                Kind::Unknown,
                "a step of this transaction is under way",
            )),
            Some(x) => {
                x.busy = true;
                x.last = now;
                if load.act == Act::Rollback {
                    load.setup = x.setup.clone();
                }
                let from = std::mem::replace(&mut x.setup, load.setup.clone());
                let setup = load.setup.clone();
                let conn = crate::pool::Conn {
                    id: x.conn,
                    life: x.life,
                    user: x.session,
                    setup,
                    idle: now,
                };
                let mut job = Job::new(now, owner, load, p, db, epoch);
                job.conn = Some(conn);
                job.life = t.servers[p].life;
                let same = from == job.load.setup;
                let j = self.jobs.insert(job);
                match same {
                    true => self.job_run(now, j, out),
                    false => self.reset_now(now, j, Some(from), out),
                }
                Ok(())
            }
            None if load.act == Act::Commit && load.look_up => {
                let mut job = Job::new(now, owner, load, p, db, epoch);
                job.life = t.servers[p].life;
                let j = self.jobs.insert(job);
                self.look_up(now, j, Step::LookUp, out);
                Ok(())
            }
            None => Err(reject(
                Kind::Aborted,
                "the transaction is open here no more; it was rolled back",
            )),
        }
    }

    pub(crate) fn acked(&self, d: &DbRow, pos: u64) -> bool {
        let Some(t) = self.t.as_ref() else {
            return false;
        };
        let lead = d.primary.map(|p| t.servers[p].name.as_str());
        let holds = |i: &usize| {
            let (k, s) = (&self.known[*i], &t.servers[*i]);
            k.life == s.life && k.pos >= pos && Some(k.follows.as_str()) == lead
        };
        planted(Bug::NoAcks)
            || !d.can.confirms
            || !d.heirs.is_empty() && d.heirs.iter().chain(d.joining.iter()).all(holds)
    }

    pub(crate) fn still(&self, now: Time, db: usize, epoch: Mark) -> bool {
        let d = self.t.as_ref().map(|t| &t.dbs[db]);
        let on = d.is_some_and(|d| {
            d.epoch == epoch && d.fences && matches!(d.phase.as_str(), "steady" | "closing")
        });
        on && self.allows(now)
    }

    pub(crate) fn drop_old_txns(&mut self, now: Time, out: &mut FrontOut) {
        let Some(t) = self.t.clone() else { return };
        let c = &t.cfg.timeouts;
        let old: Vec<u64> = self
            .txns
            .iter()
            .filter(|(_, x)| {
                let d = &t.dbs[x.db];
                let grace = if planted(Bug::TxnCut) {
                    0
                } else {
                    c.transaction_drain_ms
                };
                let shut = d.phase == "closing" && now > self.closing_at[x.db].1 + grace;
                let idle = now > x.last + c.transaction_idle_ms;
                let lost = !self.still(now, x.db, x.epoch) || t.servers[x.server].life != x.life;
                !x.busy && (shut || idle || lost)
            })
            .map(|(k, _)| *k)
            .collect();
        for k in old {
            self.txn_drop(now, k, out);
        }
    }

    pub(crate) fn txn_drop(&mut self, now: Time, key: u64, out: &mut FrontOut) {
        if let Some(x) = self.txns.remove(&key) {
            self.discard(now, x.server, x.conn, x.life, out);
        }
    }

    pub(crate) fn report_clean(&mut self, out: &mut FrontOut) {
        let Some(t) = self.t.clone() else { return };
        for (i, d) in t.dbs.iter().enumerate() {
            let shut = d.fences && matches!(d.phase.as_str(), "closing" | "fenced");
            let busy = self.jobs.iter().any(|(_, j)| {
                j.db == i && matches!(j.owner, Owner::Carry(..)) && j.step == Step::Run
            });
            let acks = d.phase == "closing"
                && self
                    .jobs
                    .iter()
                    .any(|(_, j)| j.db == i && j.step == Step::Acks);
            if shut && !busy && !acks && !self.txns.values().any(|x| x.db == i) {
                out.clean.push((d.name.clone(), d.since));
            }
        }
    }
}
