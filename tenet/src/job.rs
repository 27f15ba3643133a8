//! Work at one server: its queue place, connection, step and deadline, and the answer when it ends. A success is
//! told only if the lease and the epoch still stand; else it ends as `unknown`, aborted or not current.

use crate::base::*;
use crate::front::*;
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::pool::Conn;
use crate::wire::*;

pub(crate) fn margin() -> Time {
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
