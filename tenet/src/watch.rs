//! Which servers this node polls and how often, and what their answers tell: reach, role, position. Polling stops
//! where observed answers already say as much.

use crate::base::*;
use crate::front::*;
use crate::job::{Owner, Step};
use crate::leaving::NewWork;
use crate::table::{DbRow, Table};

impl Front {
    fn every(&self, now: Time, d: &DbRow, s: usize, acks: bool) -> Option<Time> {
        let heir = d.heirs.contains(&s) || d.joining.contains(&s);
        let lead = d.primary == Some(s);
        match () {
            _ if d.can.guards && !d.fences => None,
            _ if acks && heir => Some(ACK_POLL),
            _ if d.can.guards && lead => Some(if now < self.known[s].heard + WATCH_QUIET {
                WATCH_QUIET
            } else {
                FENCE_POLL
            }),
            _ if d.can.guards && d.phase == "steady" => {
                (self.failing(d) || self.counts_one_that_leaves(d)).then_some(WATCH_REPLICA)
            }
            _ if d.fences => Some(FENCE_POLL),
            _ => Some(READ_POLL),
        }
    }

    /// Its primary must leave or is not reached, so that a successor may be needed soon.
    fn failing(&self, d: &DbRow) -> bool {
        let off = |p: usize| self.new_work[p] != NewWork::Given || !self.known[p].reach;
        d.primary.is_none_or(off)
    }

    /// A replica is leaving whose log counts until the others are known to hold as much.
    fn counts_one_that_leaves(&self, d: &DbRow) -> bool {
        let leaves = |s: &usize| self.new_work[*s] != NewWork::Given;
        d.can.acknowledges_by_quorum() && d.servers.iter().chain(&d.away).any(leaves)
    }

    pub(crate) fn poll_servers(&mut self, now: Time, t: &Table, out: &mut FrontOut) {
        for (i, d) in t.dbs.iter().enumerate() {
            let acks = d.can.confirms
                && self
                    .jobs
                    .iter()
                    .any(|(_, j)| j.db == i && j.step == Step::Acks);
            for s in d.servers.iter().chain(&d.away) {
                let row = &t.servers[*s];
                let near = d.fences || d.homes.contains(&row.region);
                let last = match d.can.guards && d.primary == Some(*s) {
                    true => self.polled[*s].max(self.known[*s].heard),
                    false => self.polled[*s],
                };
                let due = self
                    .every(now, d, *s, acks)
                    .is_some_and(|e| now >= last + e);
                if row.addr != Addr::NONE && near && due {
                    self.polled[*s] = now;
                    let token = self.use_token(Use::Poll(*s, now));
                    let not_after = now + POLL_LIMIT;
                    let query = Query::Position {
                        service: d.name.clone(),
                        server: row.name.clone(),
                    };
                    out.back.push(BackCall {
                        token,
                        to: row.addr,
                        query,
                        not_after,
                        timeout: POLL_LIMIT,
                    });
                }
            }
        }
    }

    fn followed(&self, t: &Table, s: usize) -> String {
        let of = t
            .dbs
            .iter()
            .find(|d| d.servers.contains(&s))
            .and_then(|d| d.primary);
        let same = of.filter(|p| *p != s && self.known[*p].term == self.known[s].term);
        same.map_or(String::new(), |p| t.servers[p].name.clone())
    }

    /// What an answer to a caller's work tells of its server.
    pub(crate) fn heard(&mut self, now: Time, j: usize, res: &BackRes) {
        let Some(t) = self.t.clone() else { return };
        let job = &self.jobs[j];
        let (s, db, sent, epoch) = (job.server, job.db, job.sent, job.epoch);
        let fenced = matches!(job.owner, Owner::Carry(..));
        if !t.dbs[db].can.guards {
            return;
        }
        let k = &mut self.known[s];
        match res {
            BackRes::Ok(Got::Ran { pos, .. }) if fenced => {
                (k.heard, k.reach, k.life) = (now, true, t.servers[s].life);
                if sent >= k.at {
                    (k.at, k.pos) = (sent, k.pos.max(*pos));
                }
                self.marks[db].add(epoch, sent, *pos);
            }
            BackRes::Ok(_) | BackRes::Rejected(..) => k.heard = now,
            _ if !fenced => k.shun = now + SHUN,
            _ => (),
        }
    }

    pub(crate) fn poll_back(&mut self, now: Time, s: usize, at: Time, res: BackRes) {
        let Some(t) = self.t.clone() else { return };
        let k = &mut self.known[s];
        if at < k.at {
            return;
        }
        match res {
            BackRes::Ok(Got::Position(v)) => {
                (k.life, k.pos, k.at, k.heard, k.reach) = (v.life, v.pos, at, now, true);
                (k.leads, k.link, k.term, k.follows) = (v.leads, v.link, v.term, v.follows);
                if v.term > 0 {
                    self.known[s].follows = self.followed(&t, s);
                }
                let k = &self.known[s];
                let (life, pos, leads) = (k.life, k.pos, k.leads);
                for (i, d) in t.dbs.iter().enumerate() {
                    if d.primary == Some(s)
                        && leads
                        && life == t.servers[s].life
                        && d.phase == "steady"
                    {
                        self.marks[i].add(d.epoch, at, pos);
                    }
                }
            }
            _ if now > k.heard + 300 => k.reach = false,
            _ => (),
        }
    }
}
