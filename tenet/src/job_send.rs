//! A job's calls to its server.

use crate::base::*;
use crate::fence::OFF_LONG;
use crate::front::*;
use crate::job::{margin, Owner, Step};
use crate::kind::{Kind, Reject};
use crate::leaving::NewWork;
use crate::plant::{planted, Bug};
use crate::wire::*;

impl Front {
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
        if let Some(reject) = self.leaving_server(now, j) {
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

    /// Why the job must not be sent to its server, which is leaving; the job waited for a connection.
    /// A read finds another replica or the primary at once; new work for the primary has its grace.
    fn leaving_server(&self, now: Time, j: usize) -> Option<Reject> {
        let job = &self.jobs[j];
        if matches!(job.owner, Owner::Trip(..)) {
            let leaving = self.new_work[job.server] != NewWork::Given;
            return leaving.then(|| Reject::new(Kind::NotCurrent, "the replica is leaving"));
        }
        let act = &job.load.act;
        let new_work = !act.inside() && !job.load.look_up && *act != Act::Pos;
        let over = new_work && self.new_work[job.server].is_over(now);
        over.then(|| Reject::new(Kind::NoPrimary, OFF_LONG))
    }
}
