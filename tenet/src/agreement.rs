//! How the voters agree on the next view: one single-decree Paxos instance for each view.
//!
//! A proposer collects promises, builds the next view from them, and has it accepted by a majority.
//! Leases of the tail go on while promises are collected; a voter stops granting only when it is asked
//! to accept a value, so that an agreement that comes to nothing stops nobody.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::disk::*;
use crate::membership::{majority, Cause};
use crate::wire::Msg;
use std::collections::{BTreeMap, BTreeSet};

/// The part of an agreement that this process keeps in memory.
#[derive(Clone, Default, speedy::Writable)]
pub struct Agreement {
    /// The ballot that this machine proposes under; 0: it proposes nothing.
    pub ballot: u64,
    /// Why it proposes.
    pub cause: Option<Cause>,
    /// By voter: the view it is in sync with, and the ballot and value that it accepted.
    pub promises: BTreeMap<NodeId, (Mark, u64, Option<View>)>,
    /// The voters that accepted the value.
    pub accepts: BTreeSet<NodeId>,
    /// The value that is proposed.
    pub value: Option<View>,
    /// When the proposal began.
    pub began: Time,
    /// When the voters were asked last.
    pub sent: Time,
    /// Before which no other proposal begins.
    pub next: Time,
    /// The highest ballot seen.
    pub heard: u64,
    /// When the agreement last made progress.
    pub touched: Time,
    /// Until when this voter grants no lease, since it was asked to accept a value.
    pub accepting_until: Time,
}

impl Agreement {
    /// No proposal, and none before `next`.
    fn rest(&self, next: Time, heard: u64, now: Time) -> Agreement {
        Agreement {
            next,
            heard,
            touched: now,
            accepting_until: self.accepting_until,
            ..Agreement::default()
        }
    }
}

impl Chain {
    fn voter(&self) -> bool {
        self.d.view.voters.iter().any(|s| s.id == self.me.id)
    }

    pub(crate) fn to_voters(&self, m: Msg, c: &Colleagues, out: &mut Out) {
        let voters = self.d.view.voters.iter();
        out.late
            .extend(voters.map(|s| (self.now_at(s, c), m.clone())));
    }

    /// What a machine with a view does from time to time: learn a newer view, report its contacts, ask
    /// for leases, propose.
    pub fn agree_tick(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + VIEW_ROUND;
        let view = self.d.view.n;
        let newer = c.live().find(|s| s.view > view);
        out.send.extend(newer.map(|s| (s.addr, Msg::ViewAsk)));
        self.contacts.tick(now);
        self.report_contacts(now, c, out);
        self.probe_own_disk(now, out);
        self.ask_for_lease(now, c, out);
        if self.voter() {
            self.drive(now, c, out);
        }
    }

    fn drive(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        let lower = self.d.view.voters.iter().filter(|s| s.id < self.me.id);
        let mut rank = lower.filter(|s| self.contacts.reaches(s.id, now)).count() as Time;
        if c.me.stopping {
            // It may end before the others hear of the view that it proposed.
            rank += self.d.view.voters.len() as Time;
        }
        if self.agree.ballot == 0 {
            let Some(cause) = self.wanted(now, c) else {
                return;
            };
            if cause == Cause::EnoughHold {
                // Only the last member in sync knows that enough are, and changes wait for it.
                rank = 0;
            }
            if now < self.agree.next + rank * VIEW_HOLD {
                return;
            }
            self.open_proposal(now, cause, out);
        }
        if now > self.agree.began + VIEW_MOST {
            let heard = self.agree.heard.max(self.agree.ballot);
            self.agree = self.agree.rest(now + VIEW_HOLD * (1 + rank), heard, now);
            return;
        }
        if self.agree.value.is_none() && self.promised_enough(now) {
            self.agree.value = self.build(now, c);
            self.agree.sent = 0;
            if self.agree.value.is_none() {
                let next = now + VIEW_HOLD * (2 + rank);
                self.agree = self.agree.rest(next, self.agree.ballot, now);
                return;
            }
        }
        self.ask_voters(now, c, out);
    }

    fn open_proposal(&mut self, now: Time, cause: Cause, out: &mut Out) {
        let at = self.d.voter_index(self.me.id) as u64;
        let heard = self.agree.heard;
        let round = (heard.max(self.d.promised) >> 8) + 1;
        let text = format!("proposing view {}: {cause}", self.d.view.n + 1);
        out.stories.push(("view".into(), text));
        self.agree = Agreement {
            ballot: (round << 8) | at,
            cause: Some(cause),
            began: now,
            heard,
            touched: now,
            accepting_until: self.agree.accepting_until,
            ..Agreement::default()
        };
    }

    /// A majority promised, and so did all that can be expected to, or they had their time.
    fn promised_enough(&self, now: Time) -> bool {
        let promised = |id: NodeId| self.agree.promises.contains_key(&id);
        let expected =
            |id: NodeId| self.contacts.reaches(id, now) && !self.contacts.disk_stalled(id, now);
        let voters = &self.d.view.voters;
        let all = voters.iter().all(|s| promised(s.id) || !expected(s.id));
        self.agree.promises.len() >= majority(&self.d.view)
            && (all || now > self.agree.began + PROMISE_WAIT)
    }

    fn ask_voters(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        if now < self.agree.sent + VIEW_ROUND {
            return;
        }
        self.agree.sent = now;
        let inst = self.d.view.n + 1;
        let ballot = self.agree.ballot;
        let m = match self.agree.value.clone() {
            Some(value) => Msg::Accept {
                inst,
                ballot,
                value,
            },
            None => Msg::Prepare { inst, ballot },
        };
        self.to_voters(m, c, out);
    }

    /// Takes a message of an agreement or of a lease.
    pub fn agree_take(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: Msg,
        c: &Colleagues,
        out: &mut Out,
    ) {
        let n = self.d.view.n;
        let voted = self.d.view.voters.iter().any(|s| s.id == from);
        match m {
            Msg::Contact { hears, disk_ready } => {
                let report = crate::contact::Report { hears, disk_ready };
                self.contacts.take(now, from, report);
            }
            Msg::Pledge { set } => self.pledged(now, from, set, out),
            Msg::ViewAsk if n > 0 => out.late.push((
                addr,
                Msg::ViewIs {
                    view: self.d.view.clone(),
                },
            )),
            Msg::ViewIs { view } => self.adopt(now, view, out),
            Msg::Prepare { inst, .. } | Msg::Accept { inst, .. } if inst <= n && n > 0 => {
                let view = self.d.view.clone();
                out.late.push((addr, Msg::ViewIs { view }));
            }
            Msg::Prepare { inst, ballot } if inst == n + 1 && self.voter() => {
                self.prepare(now, from, addr, ballot, out);
            }
            Msg::Promise {
                inst,
                ballot,
                whole,
                accepted,
                value,
            } if inst == n + 1
                && ballot == self.agree.ballot
                && voted
                && self.agree.value.is_none() =>
            {
                self.agree.promises.insert(from, (whole, accepted, value));
            }
            Msg::Accept {
                inst,
                ballot,
                value,
            } if inst == n + 1 && self.voter() => self.accept(now, addr, ballot, value, c, out),
            Msg::Accepted { inst, ballot }
                if inst == n + 1 && ballot == self.agree.ballot && voted =>
            {
                self.accepted(now, from, c, out);
            }
            Msg::Nack { inst, ballot }
                if inst == n + 1 && self.agree.ballot > 0 && ballot > self.agree.ballot =>
            {
                let next = now + VIEW_HOLD + mix(self.me.id ^ now) % VIEW_HOLD;
                self.agree = self.agree.rest(next, ballot, now);
            }
            m => self.lease_take(now, from, addr, m, out),
        }
    }

    fn accepted(&mut self, now: Time, from: NodeId, c: &Colleagues, out: &mut Out) {
        self.agree.accepts.insert(from);
        if self.agree.accepts.len() < majority(&self.d.view) {
            return;
        }
        if let Some(view) = self.agree.value.clone() {
            self.adopt(now, view.clone(), out);
            let told = |addr: Addr| (addr, Msg::ViewIs { view: view.clone() });
            out.late.extend(c.live().map(|s| told(s.addr)));
        }
    }
}

impl Durable {
    fn voter_index(&self, id: NodeId) -> usize {
        let at = self.view.voters.iter().position(|s| s.id == id);
        at.unwrap_or(0)
    }
}
