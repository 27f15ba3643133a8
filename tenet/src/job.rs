use crate::base::*;
use crate::fence::OFF_LONG;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::pool::Conn;
use crate::wire::*;

fn margin() -> Time {
    if planted(Bug::OfflineSkipped) {
        0
    } else {
        BYTES_LIFE
    }
}

#[derive(Clone, Copy, PartialEq)]
pub enum Owner {
    Trip(usize, u64),
    Carry(Asker),
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Step {
    Queue,
    Held,
    Open,
    Reset,
    Run,
    LookUp,
    CloseFirst,
    LookAfter,
    Acks,
    Again(Time),
}

pub struct Job {
    pub owner: Owner,
    pub load: Load,
    pub server: usize,
    pub db: usize,
    pub epoch: Mark,
    pub step: Step,
    pub token: u64,
    pub conn: Option<Conn>,
    pub deadline: Time,
    pub pos: u64,
    pub body: String,
    pub repeat: bool,
    pub tries: u32,
    pub lost: u64,
    pub life: u64,
    /// The life of the server that the job's connection is being opened to.
    pub opens_to: u64,
    pub sent: Time,
    pub begun: bool,
}

impl Job {
    pub fn new(now: Time, owner: Owner, load: Load, server: usize, db: usize, epoch: Mark) -> Self {
        let deadline = now + load.budget;
        Job {
            owner,
            load,
            server,
            db,
            epoch,
            step: Step::Queue,
            token: 0,
            conn: None,
            deadline,
            pos: 0,
            body: "null".into(),
            repeat: false,
            tries: 0,
            lost: 0,
            life: 0,
            opens_to: 0,
            sent: now,
            begun: false,
        }
    }
}

impl Front {
    pub(crate) fn job_start(
        &mut self,
        now: Time,
        owner: Owner,
        load: Load,
        server: usize,
        out: &mut FrontOut,
    ) {
        let t = self.t.clone();
        let (db, epoch) = t
            .and_then(|t| t.db_ix.get(&load.db).map(|i| (*i, t.dbs[*i].epoch)))
            .unwrap_or((0, 0));
        let j = self
            .jobs
            .insert(Job::new(now, owner, load, server, db, epoch));
        self.job_take(now, j, out)
    }

    pub(crate) fn job_call(
        &mut self,
        now: Time,
        j: usize,
        step: Step,
        query: Query,
        out: &mut FrontOut,
    ) {
        let token = self.use_token(Use::Job(j));
        let limit = self
            .t
            .as_ref()
            .map_or(1500, |t| t.cfg.timeouts.statement_ms);
        let limit = if self.jobs[j].load.limit > 0 {
            self.jobs[j].load.limit
        } else {
            limit
        };
        let to = self
            .t
            .as_ref()
            .map_or(Addr::NONE, |t| t.servers[self.jobs[j].server].addr);
        let fenced = matches!(self.jobs[j].owner, Owner::Carry(..));
        let end = match fenced {
            _ if planted(Bug::SendUnchecked) => Time::MAX,
            true => self.until.saturating_sub(margin()),
            false => self.until,
        };
        let until = end.min(self.jobs[j].deadline);
        let job = &mut self.jobs[j];
        (job.step, job.token, job.sent) = (step, token, now);
        let timeout = limit.min(job.deadline.saturating_sub(now)).max(1);
        out.back.push(BackCall {
            token,
            to,
            query,
            not_after: until,
            timeout,
        });
    }

    pub(crate) fn job_run(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let job = &self.jobs[j];
        let fenced = matches!(job.owner, Owner::Carry(..));
        if now >= job.deadline {
            let k = if !job.load.act.inside() {
                Kind::TooLate
            } else {
                Kind::Aborted
            };
            return self.job_end(
                now,
                j,
                Err(Reject::new(k, "its deadline passed before it was sent")),
                out,
            );
        }
        if fenced && !self.still(now + margin(), job.db, job.epoch) {
            let k = if !job.load.act.inside() {
                Kind::NotCurrent
            } else {
                Kind::Aborted
            };
            return self.job_end(
                now,
                j,
                Err(Reject::new(k, "the permit ended before it was sent")),
                out,
            );
        }
        let job = &self.jobs[j];
        let may_wait = !job.load.act.inside() && !job.load.look_up && job.load.act != Act::Pos;
        if fenced && may_wait && self.off_long(now, job.server) {
            let reject = Reject::new(Kind::NoPrimary, OFF_LONG);
            return self.job_end(now, j, Err(reject), out);
        }
        if self.conn_is_old(j) {
            return self.job_on_old_conn(now, j, out);
        }
        let job = &self.jobs[j];
        if fenced && job.load.act != Act::Pos {
            let t = format!("fencing {:x} sends it to the primary", self.me);
            let id = job.load.id.clone();
            self.traces.tell(now, &id, t);
        }
        let job = &self.jobs[j];
        let conn = job.conn.as_ref().map_or(0, |c| c.id);
        let l = &job.load;
        let (id, body, after) = (l.id.clone(), l.body.clone(), l.after);
        let query = match l.act {
            Act::Begin => Query::Begin {
                conn,
                after,
                read_only: false,
            },
            Act::First | Act::Whole if !job.begun => Query::Begin {
                conn,
                after,
                read_only: false,
            },
            Act::First => Query::Run {
                conn,
                id: None,
                writes: true,
                body,
                after: 0,
            },
            Act::Whole => Query::Commit { conn, id, body },
            Act::Step => Query::Run {
                conn,
                id: None,
                writes: true,
                body,
                after: 0,
            },
            Act::Commit => Query::Commit { conn, id, body },
            Act::Rollback => Query::Rollback { conn },
            _ => Query::Run {
                conn,
                id: Some(id),
                writes: l.writes,
                body,
                after,
            },
        };
        self.job_call(now, j, Step::Run, query, out);
    }

    pub(crate) fn look_up(&mut self, now: Time, j: usize, step: Step, out: &mut FrontOut) {
        let id = self.jobs[j].load.id.clone();
        self.job_call(now, j, step, Query::Outcome { id }, out);
    }

    pub(crate) fn job_end(
        &mut self,
        now: Time,
        j: usize,
        r: Result<(), Reject>,
        out: &mut FrontOut,
    ) {
        if self.jobs[j].conn.is_some() {
            self.job_discard(now, j, out);
        }
        let job = self.jobs.remove(j);
        let fenced = matches!(job.owner, Owner::Carry(..));
        let mut r = r;
        if fenced && r.is_ok() && !self.still(now, job.db, job.epoch) {
            let k = match job.load.act {
                _ if job.load.writes || job.load.act.commits() => Kind::Unknown,
                Act::First => Kind::Aborted,
                Act::Step if !planted(Bug::StepSentAgain) => Kind::Aborted,
                _ => Kind::NotCurrent,
            };
            if k == Kind::Aborted {
                self.txn_drop(now, job.load.txn, out);
            }
            r = Err(Reject::new(
                k,
                "the permit ended before success could be told",
            ));
        }
        let server = self
            .t
            .as_ref()
            .map_or(String::new(), |t| t.servers[job.server].name.clone());
        let done = r.map(|_| Done {
            body: job.body,
            epoch: job.epoch,
            pos: job.pos,
            age: 0,
            fence: if fenced { self.me } else { 0 },
            repeat: job.repeat,
            hops: job.load.hops.clone(),
            server,
        });
        match job.owner {
            Owner::Carry(asker) => {
                if let Err(e) = &done {
                    self.traces.tell(
                        now,
                        &job.load.id,
                        format!("fencing {:x} rejects it: {e}", self.me),
                    );
                }
                out.send.push(asker.reply(now, done));
            }
            Owner::Trip(i, g) if self.trips.get(i).is_some_and(|t| t.go_id == g) => {
                let n = self.trips[i].gos.len();
                self.trip_back(now, i, n, done, out);
            }
            Owner::Trip(..) => (),
        }
    }
}
