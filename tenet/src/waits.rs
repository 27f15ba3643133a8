//! Jobs that wait: for a connection, an acknowledgement of replicas, or another look-up. Each ends by its deadline,
//! and at once when the lease ends.

use crate::base::*;
use crate::front::*;
use crate::job::*;
use crate::kind::{Kind, Reject};

impl Front {
    pub(crate) fn close_first(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let conn = self.jobs[j].lost;
        self.job_call(now, j, Step::CloseFirst, Query::Close { conn }, out);
    }

    pub(crate) fn job_wait(&mut self, now: Time, j: usize, out: &mut FrontOut) {
        let Some(t) = self.t.clone() else { return };
        let job = &self.jobs[j];
        let fenced = matches!(job.owner, Owner::Carry(..));
        let sent = job.load.writes || job.load.act.commits();
        let unknown = |w: &str| Err(Reject::new(Kind::Unknown, w));
        match job.step {
            Step::Acks if !self.still(now, job.db, job.epoch) => {
                self.job_end(
                    now,
                    j,
                    unknown("the permit ended before a replica held it"),
                    out,
                );
            }
            Step::Acks if self.acked(&t.dbs[job.db], job.pos) => self.job_end(now, j, Ok(()), out),
            Step::CloseFirst | Step::LookAfter | Step::Again(_)
                if fenced && !self.still(now, job.db, job.epoch) =>
            {
                self.job_end(
                    now,
                    j,
                    unknown("the permit ended before it could be looked up"),
                    out,
                );
            }
            Step::Again(at) if now >= at && now < job.deadline => match job.lost {
                0 => self.look_up(now, j, Step::LookUp, out),
                _ => self.close_first(now, j, out),
            },
            Step::Held if !self.still(now, job.db, job.epoch) => {
                self.job_end(
                    now,
                    j,
                    Err(Reject::new(
                        Kind::NoPrimary,
                        "the primary fell silent before it was sent",
                    )),
                    out,
                );
            }
            Step::Held if now < job.deadline && self.known[job.server].reach => {
                self.job_take(now, j, out);
            }
            Step::Held | Step::Queue if now >= job.deadline => {
                self.job_end(
                    now,
                    j,
                    Err(Reject::new(Kind::Busy, "no connection came free in time")),
                    out,
                );
            }
            Step::Acks | Step::Again(_) if now >= job.deadline => {
                let r = match sent {
                    true => unknown("no replica confirmed it in time"),
                    false => Err(Reject::new(Kind::TooLate, "the deadline passed")),
                };
                self.job_end(now, j, r, out);
            }
            _ => (),
        }
    }
}
