//! Connections of the pools in the hands of jobs: taken, opened, reset, given back or closed.
use crate::base::*;
use crate::front::*;
use crate::job::{Owner, Step};
use crate::kind::{Kind, Reject};
use crate::plant::{planted, Bug};
use crate::pool::{Conn, Take};
use crate::query::word;
use crate::wire::*;

impl Front {
    pub(crate) fn job_take(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let rules = self.rules();
        let silent = !self.known[self.jobs[j].server].reach
            && matches!(self.jobs[j].owner, Owner::Carry(..));
        if silent {
            let held = self
                .jobs
                .iter()
                .filter(|(_, x)| x.step == Step::Held)
                .count();
            if held >= rules.queue as usize {
                return self.job_end(
                    now,
                    j,
                    Err(Reject::new(
                        Kind::Busy,
                        "too many wait for a silent primary",
                    )),
                    out,
                );
            }
            return self.jobs[j].step = Step::Held;
        }
        let job = &mut self.jobs[j];
        let setup = job.load.setup.clone();
        let (s, user) = (job.server, job.load.session);
        let keeps = self
            .t
            .as_ref()
            .is_none_or(|t| t.dbs[job.db].can.keeps_state);
        match self.pools[s].take(now, user, &setup, &rules) {
            Take::Conn(c) => {
                let same = (c.user == user || !keeps) && c.setup == setup || planted(Bug::NoReset);
                job.conn = Some(Conn {
                    user,
                    setup,
                    idle: now,
                    ..c
                });
                match same {
                    true => self.job_run(now, j, out),
                    false => self.reset_now(now, j, None, out),
                }
            }
            Take::Open => {
                job.opens_to = self.pools[s].life;
                let user = job.load.setup.user.clone();
                let server = self
                    .t
                    .as_ref()
                    .map_or(String::new(), |t| t.servers[s].name.clone());
                let service = self.jobs[j].load.db.clone();
                self.job_call(
                    now,
                    j,
                    Step::Open,
                    Query::Connect {
                        service,
                        server,
                        user,
                    },
                    out,
                );
            }
            Take::Wait => {
                self.jobs[j].step = Step::Queue;
                self.pools[s].queue.push_back(j);
            }
            Take::Full => self.job_end(
                now,
                j,
                Err(Reject::new(
                    Kind::Busy,
                    "all connections of this server are taken",
                )),
                out,
            ),
        }
    }

    pub(crate) fn back_open(&mut self, now: Time, j: usize, res: BackRes, out: &mut FrontOut) {
        let s = self.jobs[j].server;
        match res {
            BackRes::Ok(Got::Connected { conn }) => {
                let life = self.jobs[j].opens_to;
                self.pools[s].opened(life);
                let load = &self.jobs[j].load;
                let (user, setup) = (load.session, load.setup.clone());
                self.jobs[j].conn = Some(crate::pool::Conn {
                    id: conn,
                    life,
                    user,
                    setup,
                    idle: now,
                });
                self.reset_now(now, j, None, out);
            }
            r => {
                self.pools[s].not_opened(self.jobs[j].opens_to);
                let e = match r {
                    BackRes::Rejected(Refusal::Busy, _) => {
                        Reject::new(Kind::Busy, "the server allows no more connections")
                    }
                    r => Reject::new(
                        Kind::NoPrimary,
                        format!("no connection to the server: {}", word(&r)),
                    ),
                };
                self.job_end(now, j, Err(e), out);
                self.pump(now, s, out);
            }
        }
    }

    pub(crate) fn again_or(&mut self, now: Time, j: usize, r: Reject, out: &mut FrontOut) {
        self.jobs[j].tries += 1;
        match self.jobs[j].tries < 3 {
            true => self.job_take(now, j, out),
            false => self.job_end(now, j, Err(r), out),
        }
    }

    pub(crate) fn reset_now(
        &mut self,
        now: Time,
        j: usize,
        from: Option<SetUp>,
        out: &mut FrontOut,
    ) {
        let setup = self.jobs[j].load.setup.clone();
        let conn = self.jobs[j].conn.as_ref().map_or(0, |c| c.id);
        self.job_call(now, j, Step::Reset, Query::Reset { conn, from, setup }, out);
    }

    pub(crate) fn job_put(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let s = self.jobs[j].server;
        if let Some(c) = self.jobs[j].conn.take() {
            let old = self.pools[s].put(Conn { idle: now, ..c });
            if let Some(c) = old {
                self.send_close(now, s, c.id, out);
            }
        }
        self.pump(now, s, out);
    }

    pub(crate) fn pump(&mut self, now: Time, s: usize, out: &mut FrontOut) {
        let rules = self.rules();
        while self.pools[s].used() < self.pools[s].limit(now, &rules) {
            let Some(j) = self.pools[s].queue.pop_front() else {
                return;
            };
            let waits = self
                .jobs
                .get(j)
                .is_some_and(|x| x.step == Step::Queue && x.server == s);
            if waits {
                let was = self.pools[s].used();
                self.job_take(now, j, out);
                if self.pools[s].used() == was
                    && self.jobs.get(j).is_some_and(|x| x.step == Step::Queue)
                {
                    return;
                }
            }
        }
    }

    pub(crate) fn discard(
        &mut self,
        now: Time,
        server: usize,
        conn: u64,
        life: u64,
        out: &mut FrontOut,
    ) {
        self.pools[server].lost(life);
        self.send_close(now, server, conn, out);
    }

    pub(crate) fn job_discard(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let s = self.jobs[j].server;
        if let Some(c) = self.jobs[j].conn.take() {
            self.discard(now, s, c.id, c.life, out);
        }
        let txn = self.jobs[j].load.txn;
        if self.jobs[j].load.act.inside() {
            self.txns.remove(&txn);
        }
        self.pump(now, s, out);
    }

    /// Whether the job holds a connection to an earlier life of its server.
    pub(crate) fn conn_is_old(&self, j: usize) -> bool {
        let job = &self.jobs[j];
        let pool = &self.pools[job.server];
        job.conn.as_ref().is_some_and(|c| !pool.counts(c.life))
    }

    /// Nothing is sent on a connection to an earlier life of the server. Outside a transaction the
    /// job takes another.
    pub(crate) fn job_on_old_conn(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let job = &self.jobs[j];
        let inside = job.load.act.inside() || job.begun;
        self.job_discard(now, j, out);
        let why = "its connection is to an earlier life of the server";
        match inside {
            true => self.job_end(now, j, Err(Reject::new(Kind::Aborted, why)), out),
            false => self.again_or(now, j, Reject::new(Kind::Busy, why), out),
        }
    }
}
