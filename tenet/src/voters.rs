//! Which machines with a disk vote, and when that set changes.
use crate::base::*;
use crate::chain::Chain;
use crate::colleagues::{Colleagues, GONE};
use crate::disk::Seat;
use crate::wire::Summary;

impl Chain {
    /// Disks of this cluster that do not vote.
    pub fn joiners(&self, c: &Colleagues) -> Vec<Seat> {
        let votes = |id: NodeId| self.d.view.voters.iter().any(|v| v.id == id);
        let fit = |s: &&Summary| s.disk && s.view > 0 && !s.stopping && !votes(s.id);
        let mut v: Vec<Seat> = c
            .live()
            .filter(fit)
            .map(|s| Seat {
                id: s.id,
                addr: s.addr,
            })
            .collect();
        v.sort();
        v
    }

    /// It stops, or has stopped, and the chain does without it: its vote may pass to another disk.
    pub(crate) fn has_left(&self, id: NodeId, c: &Colleagues) -> bool {
        c.stops(id) && !self.d.view.chain.iter().any(|s| s.id == id)
    }

    /// This process still holds a vote that another disk could take over.
    pub fn hands_over(&self, c: &Colleagues) -> bool {
        self.d.view.voters.iter().any(|s| s.id == self.me.id) && !self.joiners(c).is_empty()
    }

    /// Gossip gave it up some time ago.
    pub(crate) fn long_gone(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        let given_up = c.all.get(&id).is_some_and(|k| k.s.status == GONE);
        given_up && c.quiet(id, now).is_some_and(|q| q > VOTER_REPLACE)
    }

    /// This process runs long enough to have heard of every voter, and has not heard of this one.
    pub(crate) fn never_seen(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        now > self.born + VOTER_UNSEEN && !c.all.contains_key(&id)
    }

    /// A voter whose vote may be dropped without a replacement, together with another such one.
    pub(crate) fn gone_for_good(&self, id: NodeId, now: Time, c: &Colleagues) -> bool {
        let long_silent = c.quiet(id, now).is_some_and(|q| q > VOTER_DROP);
        id != self.me.id && (self.has_left(id, c) || long_silent)
    }
}
