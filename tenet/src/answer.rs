use crate::base::*;
use crate::front::*;
use crate::job::*;
use crate::kind::{Kind, Reject};
use crate::wire::*;
use serde_json::Value;

fn num(v: &Value, k: &str) -> u64 {
    v.get(k).and_then(|x| x.as_u64()).unwrap_or(0)
}

impl Front {
    pub(crate) fn job_back(&mut self, now: Time, j: usize, token: u64, res: BackRes, out: &mut FrontOut) {
        if self.jobs[j].token != token {
            return;
        }
        match self.jobs[j].step {
            Step::Open => self.back_open(now, j, res, out),
            Step::Reset => match res {
                BackRes::Ok(_) => self.job_run(now, j, out),
                _ => {
                    self.job_discard(now, j, out);
                    self.again_or(now, j, Reject::new(Kind::Busy, "a connection could not be reset"), out);
                }
            },
            Step::Run => self.back_run(now, j, res, out),
            Step::LookUp => self.back_look(now, j, res, out),
            Step::CloseFirst => match res {
                BackRes::Ok(_) => self.look_up(now, j, Step::LookAfter, out),
                _ => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            },
            Step::LookAfter => match res {
                BackRes::Ok(v) if !self.same_primary(now, j, &v) => {
                    let r = Reject::new(Kind::Unknown, "the server that took it is not the primary any more");
                    self.job_end(now, j, Err(r), out);
                }
                BackRes::Ok(v) if v["found"] == true => self.found(now, j, &v, out),
                BackRes::Ok(_) => {
                    let r = Reject::new(Kind::Aborted, "the server does not know it and its connection is closed");
                    self.job_end(now, j, Err(r), out);
                }
                _ => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            },
            _ => (),
        }
    }

    fn back_open(&mut self, now: Time, j: usize, res: BackRes, out: &mut FrontOut) {
        let s = self.jobs[j].server;
        match res {
            BackRes::Ok(v) if v.get("conn").is_some() => {
                self.pools[s].opened();
                let (user, setup) = (self.jobs[j].load.session, crate::session::setup_digest(&self.jobs[j].load.setup));
                self.jobs[j].conn = Some(crate::pool::Conn { id: num(&v, "conn"), user, setup, idle: now });
                self.reset_now(now, j, out);
            }
            r => {
                self.pools[s].not_opened();
                let e = match r {
                    BackRes::Rejected(429, _) => Reject::new(Kind::Busy, "the server allows no more connections"),
                    r => Reject::new(Kind::NoPrimary, format!("no connection to the server: {}", word(&r))),
                };
                self.job_end(now, j, Err(e), out);
                self.pump(now, s, out);
            }
        }
    }

    fn again_or(&mut self, now: Time, j: usize, r: Reject, out: &mut FrontOut) {
        self.jobs[j].tries += 1;
        match self.jobs[j].tries < 3 {
            true => self.job_take(now, j, out),
            false => self.job_end(now, j, Err(r), out),
        }
    }

    fn back_run(&mut self, now: Time, j: usize, res: BackRes, out: &mut FrontOut) {
        let act = self.jobs[j].load.act.clone();
        let writes = self.jobs[j].load.writes;
        let inside = matches!(act, Act::Step | Act::Commit | Act::Rollback);
        match res {
            BackRes::Ok(v) => self.ran(now, j, act, &v, out),
            BackRes::Rejected(410, _) if !inside => {
                self.job_discard(now, j, out);
                self.again_or(now, j, Reject::new(Kind::Busy, "its connections were closed by the server"), out);
            }
            BackRes::Rejected(422, w) => {
                match act {
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
            BackRes::Rejected(409, w) if !inside => {
                self.job_put(now, j, out);
                self.job_end(now, j, Err(Reject::new(Kind::OtherBody, w)), out);
            }
            BackRes::Rejected(403, w) => {
                self.job_discard(now, j, out);
                let k = if inside { Kind::Aborted } else { Kind::NoPrimary };
                self.job_end(now, j, Err(Reject::new(k, w)), out);
            }
            BackRes::Lost if writes || act == Act::Commit => {
                self.jobs[j].lost = self.jobs[j].conn.as_ref().map_or(0, |c| c.id);
                self.job_discard(now, j, out);
                let id = self.jobs[j].load.id.clone();
                self.traces.tell(now, &id, "its answer vanished, looking it up by its id".into());
                self.close_first(now, j, out);
            }
            r => {
                self.job_discard(now, j, out);
                let k = if inside { Kind::Aborted } else { Kind::NoPrimary };
                self.job_end(now, j, Err(Reject::new(k, format!("the server did not take it: {}", word(&r)))), out);
            }
        }
    }

    fn txn_free(&mut self, now: Time, j: usize) {
        let job = &mut self.jobs[j];
        job.conn = None;
        if let Some(x) = self.txns.get_mut(&job.load.txn) {
            x.busy = false;
            x.last = now;
        }
    }

    fn ran(&mut self, now: Time, j: usize, act: Act, v: &Value, out: &mut FrontOut) {
        let job = &mut self.jobs[j];
        job.pos = num(v, "pos");
        job.body = v.get("result").map_or("null".into(), |r| r.to_string());
        job.repeat = v["repeat"] == true;
        let key = job.load.txn;
        match act {
            Act::Begin => {
                let life = self.t.as_ref().map_or(0, |t| t.servers[job.server].life);
                if let Some(c) = job.conn.take() {
                    let x = TxnHeld {
                        conn: c.id,
                        setup: c.setup,
                        server: job.server,
                        db: job.db,
                        epoch: job.epoch,
                        session: job.load.session,
                        last: now,
                        busy: false,
                        life,
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
            Act::Commit => {
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
            BackRes::Ok(v) if !self.same_primary(now, j, &v) => {
                let r = Reject::new(Kind::NoPrimary, "the server looked at is not the primary any more");
                self.job_end(now, j, Err(r), out);
            }
            BackRes::Ok(v) if v["found"] == true => self.found(now, j, &v, out),
            BackRes::Ok(_) if !commit && self.off_long(now, job.server) => {
                self.job_end(now, j, Err(Reject::new(Kind::NoPrimary, crate::fence::OFF_LONG)), out);
            }
            BackRes::Ok(_) if !commit => self.job_take(now, j, out),
            BackRes::Ok(_) if job.load.epoch < job.epoch => {
                let r = Reject::new(Kind::Aborted, "the new primary does not hold it");
                self.job_end(now, j, Err(r), out);
            }
            BackRes::Ok(_) => self.jobs[j].step = Step::Again(now + LOOK_AGAIN),
            r => self.job_end(now, j, Err(Reject::new(Kind::NoPrimary, format!("no look-up: {}", word(&r)))), out),
        }
    }

    fn same_primary(&self, now: Time, j: usize, v: &Value) -> bool {
        let job = &self.jobs[j];
        v["leads"] == true && num(v, "life") == job.life && self.still(now, job.db, job.epoch)
    }

    fn found(&mut self, now: Time, j: usize, v: &Value, out: &mut FrontOut) {
        let job = &mut self.jobs[j];
        job.pos = num(v, "pos");
        job.body = v.get("result").map_or("null".into(), |r| r.to_string());
        job.repeat = true;
        let id = job.load.id.clone();
        self.traces.tell(now, &id, "found under its id, not run again".into());
        self.wait_acks(now, j, out);
    }

    fn wait_acks(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        self.jobs[j].step = Step::Acks;
        self.job_wait(now, j, out);
    }
}

fn word(r: &BackRes) -> String {
    match r {
        BackRes::Ok(_) => "an answer without sense".into(),
        BackRes::Rejected(c, w) => format!("{c} {w}"),
        BackRes::NotSent => "not reached".into(),
        BackRes::Lost => "no answer".into(),
    }
}
