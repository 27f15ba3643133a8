//! What a server's answer to a job leads to: the next step of the job, its result, or a look-up by id.
//! A write or commit whose answer was lost is looked up by its id, after its connection was closed; where the
//! servers look nothing up it ends as `unknown`.

use crate::base::*;
use crate::front::*;
use crate::job::*;
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::query::word;
use crate::wire::*;

impl Front {
    pub(crate) fn job_back(
        &mut self,
        now: Time,
        j: usize,
        token: u64,
        res: BackRes,
        out: &mut FrontOut,
    ) {
        if self.jobs[j].token != token {
            return;
        }
        match self.jobs[j].step {
            Step::Open => self.back_open(now, j, res, out),
            Step::Reset => match res {
                BackRes::Ok(_) => self.job_run(now, j, out),
                _ if self.jobs[j].load.act.inside() => {
                    self.job_discard(now, j, out);
                    self.job_end(
                        now,
                        j,
                        Err(Reject::new(
                            Kind::Aborted,
                            "its settings could not be changed",
                        )),
                        out,
                    );
                }
                _ => {
                    self.job_discard(now, j, out);
                    self.again_or(
                        now,
                        j,
                        Reject::new(Kind::Busy, "a connection could not be reset"),
                        out,
                    );
                }
            },
            Step::Run => self.back_run(now, j, res, out),
            Step::LookUp => self.back_look(now, j, res, out),
            Step::CloseFirst => match res {
                BackRes::Ok(_) => self.look_up(now, j, Step::LookAfter, out),
                _ => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            },
            Step::LookAfter => match res {
                BackRes::Ok(Got::Outcome { life, leads, .. })
                    if !self.same_primary(now, j, life, leads) =>
                {
                    let r = Reject::new(
                        Kind::Unknown,
                        "the server that took it is not the primary any more",
                    );
                    self.job_end(now, j, Err(r), out);
                }
                BackRes::Ok(Got::Outcome { found: Some(x), .. }) => self.found(now, j, x, out),
                BackRes::Ok(_) => {
                    let r = Reject::new(
                        Kind::Aborted,
                        "the server does not know it and its connection is closed",
                    );
                    self.job_end(now, j, Err(r), out);
                }
                _ => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            },
            _ => (),
        }
    }

    fn back_run(&mut self, now: Time, j: usize, res: BackRes, out: &mut FrontOut) {
        let act = self.jobs[j].load.act.clone();
        let writes = self.jobs[j].load.writes;
        let inside = act.inside();
        self.heard(now, j, &res);
        let deferred = matches!(act, Act::First | Act::Whole);
        if deferred && !self.jobs[j].begun && matches!(res, BackRes::Ok(_)) {
            self.jobs[j].begun = true;
            return self.job_run(now, j, out);
        }
        let inside = inside || deferred && self.jobs[j].begun;
        let commits = act == Act::Commit || act == Act::Whole && self.jobs[j].begun;
        let writes = writes && (commits || !deferred);
        match res {
            BackRes::Ok(Got::Ran {
                pos,
                result,
                repeat,
            }) => {
                (self.jobs[j].pos, self.jobs[j].body, self.jobs[j].repeat) = (pos, result, repeat);
                self.ran(now, j, act, out)
            }
            BackRes::Rejected(Refusal::ConnClosed, _) if !inside => {
                self.job_discard(now, j, out);
                self.again_or(
                    now,
                    j,
                    Reject::new(Kind::Busy, "its connections were closed by the server"),
                    out,
                );
            }
            BackRes::Rejected(Refusal::Failed, w) => {
                match act {
                    _ if deferred => self.job_discard(now, j, out),
                    Act::Step => self.txn_free(now, j),
                    Act::Commit => {
                        let k = self.jobs[j].load.txn;
                        self.txns.remove(&k);
                        self.job_put(now, j, out);
                    }
                    _ => self.job_put(now, j, out),
                }
                self.job_end(now, j, Err(Reject::new(Kind::Failed, w)), out);
            }
            BackRes::Rejected(Refusal::OtherBody, w) if !inside => {
                self.job_put(now, j, out);
                self.job_end(now, j, Err(Reject::new(Kind::OtherBody, w)), out);
            }
            BackRes::Rejected(Refusal::NotLeading, w) => {
                self.job_discard(now, j, out);
                let k = if inside {
                    Kind::Aborted
                } else {
                    Kind::NoPrimary
                };
                self.job_end(now, j, Err(Reject::new(k, w)), out);
            }
            BackRes::Rejected(k @ (Refusal::Busy | Refusal::Behind), w) if !inside => {
                self.job_put(now, j, out);
                let k = if k == Refusal::Behind {
                    Kind::NotCurrent
                } else {
                    Kind::Busy
                };
                self.job_end(now, j, Err(Reject::new(k, w)), out);
            }
            BackRes::Lost if planted(Bug::ResetSentAgain) => {
                self.job_discard(now, j, out);
                self.again_or(now, j, Reject::new(Kind::Busy, "lost"), out);
            }
            BackRes::Lost if (writes || commits) && !self.looks_up(j) => {
                self.job_discard(now, j, out);
                let r = Reject::new(
                    Kind::Unknown,
                    "its answer vanished and its servers look nothing up",
                );
                self.job_end(now, j, Err(r), out);
            }
            BackRes::Lost if writes || commits => {
                self.jobs[j].lost = self.jobs[j].conn.as_ref().map_or(0, |c| c.id);
                self.job_discard(now, j, out);
                let id = self.jobs[j].load.id.clone();
                self.traces.tell(
                    now,
                    &id,
                    "its answer vanished, looking it up by its id".into(),
                );
                self.close_first(now, j, out);
            }
            r => {
                self.job_discard(now, j, out);
                let k = if inside {
                    Kind::Aborted
                } else {
                    Kind::NoPrimary
                };
                self.job_end(
                    now,
                    j,
                    Err(Reject::new(
                        k,
                        format!("the server did not take it: {}", word(&r)),
                    )),
                    out,
                );
            }
        }
    }

    fn looks_up(&self, j: usize) -> bool {
        self.t
            .as_ref()
            .is_none_or(|t| t.dbs[self.jobs[j].db].can.outcomes)
    }

    fn txn_free(&mut self, now: Time, j: usize) {
        let job = &mut self.jobs[j];
        job.conn = None;
        if let Some(x) = self.txns.get_mut(&job.load.txn) {
            x.busy = false;
            x.last = now;
        }
    }

    fn ran(&mut self, now: Time, j: usize, act: Act, out: &mut FrontOut) {
        let job = &mut self.jobs[j];
        let key = job.load.txn;
        match act {
            Act::Begin | Act::First => {
                if let Some(c) = job.conn.take() {
                    let x = TxnHeld {
                        conn: c.id,
                        setup: job.load.setup.clone(),
                        server: job.server,
                        db: job.db,
                        epoch: job.epoch,
                        session: job.load.session,
                        last: now,
                        busy: false,
                        life: c.life,
                    };
                    self.txns.insert(key, x);
                }
                self.job_end(now, j, Ok(()), out);
            }
            Act::Step => {
                self.txn_free(now, j);
                self.job_end(now, j, Ok(()), out);
            }
            Act::Rollback => {
                self.txns.remove(&key);
                self.job_put(now, j, out);
                self.job_end(now, j, Ok(()), out);
            }
            Act::Commit | Act::Whole => {
                self.txns.remove(&key);
                self.job_put(now, j, out);
                self.wait_acks(now, j, out);
            }
            _ => {
                self.job_put(now, j, out);
                match self.jobs[j].load.writes {
                    true => self.wait_acks(now, j, out),
                    false => self.job_end(now, j, Ok(()), out),
                }
            }
        }
    }

    fn back_look(&mut self, now: Time, j: usize, res: BackRes, out: &mut FrontOut) {
        let job = &self.jobs[j];
        let commit = job.load.act == Act::Commit;
        match res {
            BackRes::Ok(Got::Outcome { life, leads, .. })
                if !self.same_primary(now, j, life, leads) =>
            {
                let r = Reject::new(
                    Kind::NoPrimary,
                    "the server looked at is not the primary any more",
                );
                self.job_end(now, j, Err(r), out);
            }
            BackRes::Ok(Got::Outcome { found: Some(x), .. }) => self.found(now, j, x, out),
            BackRes::Ok(_) if !commit && self.new_work[job.server].is_over(now) => {
                self.job_end(
                    now,
                    j,
                    Err(Reject::new(Kind::NoPrimary, crate::fence::OFF_LONG)),
                    out,
                );
            }
            BackRes::Ok(_) if !commit => self.job_take(now, j, out),
            BackRes::Ok(_) if job.load.epoch < job.epoch => {
                let r = Reject::new(Kind::Aborted, "the new primary does not hold it");
                self.job_end(now, j, Err(r), out);
            }
            BackRes::Ok(_) => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            r => self.job_end(
                now,
                j,
                Err(Reject::new(
                    Kind::NoPrimary,
                    format!("no look-up: {}", word(&r)),
                )),
                out,
            ),
        }
    }

    fn same_primary(&self, now: Time, j: usize, life: u64, leads: bool) -> bool {
        let job = &self.jobs[j];
        leads && life == job.life && self.still(now, job.db, job.epoch)
    }

    fn found(&mut self, now: Time, j: usize, x: (u64, String), out: &mut FrontOut) {
        let job = &mut self.jobs[j];
        (job.pos, job.body, job.repeat) = (x.0, x.1, true);
        let id = job.load.id.clone();
        self.traces
            .tell(now, &id, "found under its id, not run again".into());
        self.wait_acks(now, j, out);
    }

    fn wait_acks(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        self.jobs[j].step = Step::Acks;
        self.job_wait(now, j, out);
    }
}
