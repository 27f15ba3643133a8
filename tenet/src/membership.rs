//! Which machines the next view should hold, and why a new view is wanted.
//!
//! The chain holds machines that reach each other directly, pairwise, and the machine that proposes.
//! Members leave as soon as contact is lost and return only after it has held for a while. Gossip is
//! asked for what is no matter of contact: who stops, who moved, whose disk is gone for good.

use crate::base::*;
use crate::chain::Chain;
use crate::colleagues::Colleagues;
use crate::disk::{Seat, View};
use std::fmt;

/// Why a new view is wanted.
#[derive(Clone, Copy, PartialEq, Debug, speedy::Writable)]
pub enum Cause {
    /// A member of the chain is out of direct contact with another.
    Silent(NodeId),
    /// The disk of a member does not answer.
    DiskStalled(NodeId),
    /// A member was told to stop.
    Stopping(NodeId),
    /// A member has another address now.
    Moved(NodeId, Addr),
    /// The next member of the chain does not sync what it is sent.
    NotSyncing(NodeId),
    /// A value was accepted in an agreement that nobody finished.
    LeftOpen,
    /// Two more disks can vote.
    MoreVoters,
    /// A machine can join the chain.
    Join(NodeId),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Cause::Silent(id) => write!(f, "{id:x} in the chain is out of contact"),
            Cause::DiskStalled(id) => write!(f, "the disk of {id:x} does not answer"),
            Cause::Stopping(id) => write!(f, "{id:x} in the chain is stopping"),
            Cause::Moved(id, addr) => write!(f, "{id:x} is at {addr} now"),
            Cause::NotSyncing(id) => write!(f, "{id:x}, next in the chain, does not sync"),
            Cause::LeftOpen => write!(f, "an agreement was left open"),
            Cause::MoreVoters => write!(f, "two more disks can vote"),
            Cause::Join(id) => write!(f, "{id:x} can join the chain"),
        }
    }
}

/// How many of a view's voters are a majority.
pub(crate) fn majority(view: &View) -> usize {
    view.voters.len() / 2 + 1
}

impl Chain {
    fn in_chain(&self, id: NodeId) -> bool {
        self.d.view.chain.iter().any(|s| s.id == id)
    }

    fn votes(&self, id: NodeId) -> bool {
        self.d.view.voters.iter().any(|s| s.id == id)
    }

    /// Whether this machine reaches a majority of the voters directly.
    pub(crate) fn reaches_majority(&self, now: Time) -> bool {
        let voters = self.d.view.voters.iter();
        let reached = voters.filter(|s| self.contacts.reaches(s.id, now)).count();
        reached >= majority(&self.d.view)
    }

    /// Why this machine would propose a new view now. Who is out of contact with a majority wants
    /// none, and members alone judge the chain: a machine outside it sees least.
    pub(crate) fn wanted(&self, now: Time, c: &Colleagues) -> Option<Cause> {
        if !self.reaches_majority(now) {
            return None;
        }
        let left_open = self.d.accepted > 0 && now > self.agree.touched + VIEW_OPEN;
        if left_open {
            return Some(Cause::LeftOpen);
        }
        self.place()?;
        self.member_silent(now)
            .or_else(|| self.member_stalled(now))
            .or_else(|| self.member_stopping(c))
            .or_else(|| self.member_moved(c))
            .or_else(|| self.member_behind(now))
            .or_else(|| self.room_for_voters(now, c))
            .or_else(|| self.can_join(now, c))
    }

    fn member_silent(&self, now: Time) -> Option<Cause> {
        let chain = &self.d.view.chain;
        for (at, second) in chain.iter().enumerate() {
            let broken = |first: &&Seat| self.contacts.lost(first.id, second.id, now);
            if let Some(first) = chain[..at].iter().find(broken) {
                let other = if second.id == self.me.id {
                    first
                } else {
                    second
                };
                return Some(Cause::Silent(other.id));
            }
        }
        None
    }

    fn member_stalled(&self, now: Time) -> Option<Cause> {
        let chain = &self.d.view.chain;
        let stalled = chain
            .iter()
            .find(|s| self.contacts.disk_stalled(s.id, now))?;
        (chain.len() > 1).then_some(Cause::DiskStalled(stalled.id))
    }

    fn member_stopping(&self, c: &Colleagues) -> Option<Cause> {
        let chain = &self.d.view.chain;
        let stopping = chain.iter().find(|s| c.stops(s.id))?;
        (chain.len() > 2).then_some(Cause::Stopping(stopping.id))
    }

    fn member_moved(&self, c: &Colleagues) -> Option<Cause> {
        let view = &self.d.view;
        let mut seats = view.voters.iter().chain(&view.chain);
        let moved = seats.find(|s| self.now_at(s, c) != s.addr)?;
        Some(Cause::Moved(moved.id, self.now_at(moved, c)))
    }

    fn member_behind(&self, now: Time) -> Option<Cause> {
        let next = self.succ().filter(|_| self.stuck(now))?;
        Some(Cause::NotSyncing(next.id))
    }

    fn room_for_voters(&self, now: Time, c: &Colleagues) -> Option<Cause> {
        let room = self.d.view.voters.len() + 2 <= VOTERS_MOST;
        (room && self.steady_joiners(now, c).len() >= 2).then_some(Cause::MoreVoters)
    }

    fn can_join(&self, now: Time, c: &Colleagues) -> Option<Cause> {
        let vacant = self
            .d
            .view
            .voters
            .iter()
            .any(|s| self.missing(s.id, now, c));
        let candidate = c
            .live()
            .filter(|s| s.disk && s.view > 0 && !s.stopping)
            .filter(|s| !self.in_chain(s.id) && (vacant || self.votes(s.id)))
            .find(|s| self.fits_chain(s.id, now));
        candidate.map(|s| Cause::Join(s.id))
    }

    /// Whether contact with `id` has held, here and, as far as is known, with each member.
    fn fits_chain(&self, id: NodeId, now: Time) -> bool {
        let chain = &self.d.view.chain;
        self.contacts.steady(id, now) && !chain.iter().any(|s| self.contacts.lost(s.id, id, now))
    }

    /// Its disk is gone for all that is known, so that another may take its vote.
    pub fn missing(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        let unseen = now > self.born + VOTER_REPLACE && !c.all.contains_key(&id);
        let voters = &self.d.view.voters;
        let at = voters.iter().find(|s| s.id == id).map(|s| s.addr);
        let reborn = c.live().any(|s| s.disk && s.id != id && Some(s.addr) == at);
        let quiet = c.quiet(id, now).is_some_and(|span| span > VOTER_REPLACE);
        id != self.me.id && (reborn || unseen || quiet)
    }

    /// Disks of this cluster that do not vote.
    pub fn joiners(&self, c: &Colleagues) -> Vec<Seat> {
        let mut joiners: Vec<Seat> = c
            .live()
            .filter(|s| s.disk && s.view > 0 && !s.stopping && !self.votes(s.id))
            .map(|s| Seat {
                id: s.id,
                addr: s.addr,
            })
            .collect();
        joiners.sort();
        joiners
    }

    /// Those of the joiners that have been in contact for long enough.
    fn steady_joiners(&self, now: Time, c: &Colleagues) -> Vec<Seat> {
        let mut joiners = self.joiners(c);
        joiners.retain(|s| self.fits_chain(s.id, now));
        joiners
    }

    /// The next view, from the promises of this agreement. A value that a voter accepted before goes
    /// first. `None`: nothing would change, or no member that is in sync promised.
    pub(crate) fn build(&self, now: Time, c: &Colleagues) -> Option<View> {
        let accepted = self.agree.promises.values().filter(|p| p.1 > 0);
        if let Some(value) = accepted.max_by_key(|p| p.1).and_then(|p| p.2.clone()) {
            return Some(value);
        }
        let old = &self.d.view;
        let mut chain = self.next_members(now, c);
        if chain.is_empty() {
            return None;
        }
        let mut voters = self.next_voters(now, c);
        chain.extend(self.next_joiners(&voters, &chain, now, c));
        for seat in chain.iter_mut().chain(voters.iter_mut()) {
            seat.addr = self.now_at(seat, c);
        }
        if chain == old.chain && voters == old.voters {
            return None;
        }
        Some(View {
            n: old.n + 1,
            cluster: old.cluster,
            voters,
            chain,
        })
    }

    /// Members in sync that promised and reach each other and this machine, in their order.
    fn next_members(&self, now: Time, c: &Colleagues) -> Vec<Seat> {
        let view = &self.d.view;
        let in_sync = |id: NodeId| {
            let promise = self.agree.promises.get(&id);
            promise.is_some_and(|p| p.0 == view.n)
        };
        let mut members: Vec<Seat> = Vec::new();
        for seat in view.chain.iter().filter(|s| in_sync(s.id)) {
            let apart = self.contacts.lost(seat.id, self.me.id, now)
                || members
                    .iter()
                    .any(|m| self.contacts.lost(m.id, seat.id, now));
            if !apart {
                members.push(*seat);
            }
        }
        if self.stuck(now) {
            let behind = self.succ().map(|s| s.id);
            members.sort_by_key(|s| Some(s.id) == behind);
        }
        let leaving = members.iter().filter(|s| c.stops(s.id)).count();
        if members.len() >= leaving + 2 {
            members.retain(|s| !c.stops(s.id));
        }
        members
    }

    /// The voters, those whose disk is gone replaced, and two more where there are disks for them.
    fn next_voters(&self, now: Time, c: &Colleagues) -> Vec<Seat> {
        let mut voters = self.d.view.voters.clone();
        let gone = |s: &Seat| {
            s.id != self.me.id
                && !self.agree.promises.contains_key(&s.id)
                && self.missing(s.id, now, c)
        };
        let mut candidates = self.steady_joiners(now, c);
        for seat in &candidates {
            if let Some(at) = voters.iter().position(gone) {
                voters[at] = *seat;
            }
        }
        candidates.retain(|s| !voters.iter().any(|v| v.id == s.id));
        if voters.len() + 2 <= VOTERS_MOST && candidates.len() >= 2 {
            voters.extend(&candidates[..2]);
        }
        voters
    }

    /// Voters that join the end of the chain.
    fn next_joiners(
        &self,
        voters: &[Seat],
        chain: &[Seat],
        now: Time,
        c: &Colleagues,
    ) -> Vec<Seat> {
        let promised = |id: NodeId| self.agree.promises.contains_key(&id);
        let fits = |id: NodeId| match self.in_chain(id) {
            true => promised(id),
            false => self.fits_chain(id, now),
        };
        let apart = |id: NodeId| chain.iter().any(|m| self.contacts.lost(m.id, id, now));
        let skipped = |id: NodeId| match self.agree.cause {
            Some(Cause::NotSyncing(behind) | Cause::DiskStalled(behind)) => behind == id,
            _ => false,
        };
        voters
            .iter()
            .filter(|s| c.alive(s.id) && !c.stops(s.id) && !skipped(s.id))
            .filter(|s| !chain.iter().any(|m| m.id == s.id))
            .filter(|s| s.id == self.me.id || (fits(s.id) && !apart(s.id)))
            .copied()
            .collect()
    }
}
