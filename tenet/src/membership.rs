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
    /// Two voters are gone for good.
    FewerVoters,
    /// A machine can join the chain.
    Join(NodeId),
    /// Enough members are in sync to confirm changes, which this view does not.
    EnoughHold,
    /// No member of the chain is reached any more, but a disk that holds every acknowledged change is.
    ChainLost,
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
            Cause::FewerVoters => write!(f, "two voters are gone for good"),
            Cause::Join(id) => write!(f, "{id:x} can join the chain"),
            Cause::EnoughHold => write!(f, "enough members are in sync to confirm changes"),
            Cause::ChainLost => write!(f, "no member of the chain is reached"),
        }
    }
}

/// How many of a view's voters are a majority.
pub(crate) fn majority(view: &View) -> usize {
    view.voters.len() / 2 + 1
}

impl Chain {
    /// Where a member is reached now.
    pub(crate) fn now_at(&self, s: &Seat, c: &Colleagues) -> Addr {
        match s.id == self.me.id {
            true => self.me.addr,
            false => c
                .all
                .get(&s.id)
                .filter(|_| c.alive(s.id))
                .map_or(s.addr, |k| k.s.addr),
        }
    }

    pub(crate) fn in_chain(&self, id: NodeId) -> bool {
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
    /// none, and members alone judge the chain, as long as any is reached: a machine outside it sees least.
    pub(crate) fn wanted(&self, now: Time, c: &Colleagues) -> Option<Cause> {
        if !self.reaches_majority(now) {
            return None;
        }
        let left_open = self.d.accepted > 0 && now > self.agree.touched + VIEW_OPEN;
        if left_open {
            return Some(Cause::LeftOpen);
        }
        if self.place().is_none() {
            return self.chain_lost(now);
        }
        let view = &self.d.view;
        let urgent = self
            .member_silent(now)
            .or_else(|| self.member_stalled(now))
            .or_else(|| self.member_behind(now))
            .or_else(|| self.enough_hold());
        if urgent.is_some() || now < self.adopted_at + VIEW_SETTLE {
            return urgent;
        }
        if !view.confirms() && view.chain.len() >= self.copies {
            // Another view would have those that join begin anew, and changes wait for them.
            return self.member_moved(c);
        }
        self.member_stopping(c)
            .or_else(|| self.member_moved(c))
            .or_else(|| self.resized(now, c))
            .or_else(|| self.can_join(now, c))
    }

    /// Whether the chain can start again from a disk outside it.
    fn chain_lost(&self, now: Time) -> Option<Cause> {
        let view = &self.d.view;
        let lost = |s: &Seat| self.contacts.lost(s.id, self.me.id, now);
        let reached = |id: &NodeId| self.contacts.reaches(*id, now);
        let starts_again = view.chain.iter().all(lost) && view.holders.iter().any(reached);
        starts_again.then_some(Cause::ChainLost)
    }

    /// A member is in sync only after all before it in the chain are.
    fn enough_hold(&self) -> Option<Cause> {
        let in_sync = self.place().filter(|_| self.whole())? + 1;
        (!self.d.view.confirms() && in_sync >= self.copies).then_some(Cause::EnoughHold)
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
        (chain.len() > self.chain_least()).then_some(Cause::Stopping(stopping.id))
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

    /// Why the number of voters should change now. It stays odd.
    fn resized(&self, now: Time, c: &Colleagues) -> Option<Cause> {
        let voters = &self.d.view.voters;
        let room = voters.len() + 2 <= VOTERS_MOST;
        if room && self.steady_joiners(now, c).len() >= 2 {
            return Some(Cause::MoreVoters);
        }
        let gone = voters.iter().filter(|s| self.gone_for_good(s.id, now, c));
        (voters.len() >= VOTERS_LEAST + 2 && gone.count() >= 2).then_some(Cause::FewerVoters)
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

    /// Whether contact with `id` has held, here and, as far as is known, with each member. A chain that is
    /// too short to take changes does not wait for as long as one that only gets a further replica.
    pub(crate) fn fits_chain(&self, id: NodeId, now: Time) -> bool {
        let chain = &self.d.view.chain;
        let held = match chain.len() < self.copies {
            true => self.contacts.steady_if_needed(id, now),
            false => self.contacts.steady(id, now),
        };
        held && !chain.iter().any(|s| self.contacts.lost(s.id, id, now))
    }

    /// Its disk is gone for all that is known, so that another may take its vote.
    pub fn missing(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        let unseen = self.has_left(id, c) || self.never_seen(id, now, c);
        let voters = &self.d.view.voters;
        let at = voters.iter().find(|s| s.id == id).map(|s| s.addr);
        let reborn = c.live().any(|s| s.disk && s.id != id && Some(s.addr) == at);
        id != self.me.id && (reborn || unseen || self.long_gone(id, now, c))
    }

    /// Those of the joiners that have been in contact for long enough.
    pub(crate) fn steady_joiners(&self, now: Time, c: &Colleagues) -> Vec<Seat> {
        let mut joiners = self.joiners(c);
        joiners.retain(|s| self.fits_chain(s.id, now));
        joiners
    }
}

/// The addresses of seats in their order.
pub fn seats(v: &[Seat]) -> String {
    v.iter()
        .map(|s| s.addr.to_string())
        .collect::<Vec<_>>()
        .join(" > ")
}
