//! The next view: built by a proposer from the promises that it collected.

use crate::base::*;
use crate::chain::Chain;
use crate::colleagues::Colleagues;
use crate::disk::{Seat, View};
use crate::membership::Cause;
use crate::plant::{planted, Bug};

impl Chain {
    /// The next view, from the promises of this agreement. A value that a voter accepted before goes
    /// first. `None`: nothing would change, no disk from which the chain can go on is there, or contact with a majority
    /// was lost meanwhile.
    pub(crate) fn build(&self, now: Time, c: &Colleagues) -> Option<View> {
        let accepted = self.agree.promises.values().filter(|p| p.1 > 0);
        if let Some(value) = accepted.max_by_key(|p| p.1).and_then(|p| p.2.clone()) {
            return Some(value);
        }
        // The promises may be older than the loss of contact: a machine that hears nobody any more would
        // make itself the whole chain, and nobody could take it out again.
        if !self.reaches_majority(now) {
            return None;
        }
        let old = &self.d.view;
        let in_sync = self.next_members(now, c);
        let mut chain = match in_sync.is_empty() {
            true => self.reached_holder(now, c).into_iter().collect(),
            false => in_sync.clone(),
        };
        let mut voters = self.next_voters(&chain, now, c);
        let votes = |member: &Seat| voters.iter().any(|voter| voter.id == member.id);
        if chain.is_empty() || !chain.iter().all(votes) {
            return None;
        }
        if self.agree.cause != Some(Cause::EnoughHold) {
            // Changes would wait until those that join are in sync.
            chain.extend(self.next_joiners(&voters, &chain, now, c));
        }
        for seat in chain.iter_mut().chain(voters.iter_mut()) {
            seat.addr = self.now_at(seat, c);
        }
        let n = old.n + 1;
        let enough =
            in_sync.len() >= self.copies || (!in_sync.is_empty() && planted(Bug::FewHolders));
        let (confirming, holders) = match enough {
            true => (n, in_sync.iter().map(|s| s.id).collect()),
            false => (old.confirming, old.holders.clone()),
        };
        let confirms_again = confirming == n && !old.confirms();
        if chain == old.chain && voters == old.voters && !confirms_again {
            return None;
        }
        Some(View {
            n,
            cluster: old.cluster,
            voters,
            chain,
            confirming,
            holders,
        })
    }

    /// A disk that holds every acknowledged change, of a machine that is reached: the chain starts again from it when no
    /// member that is in sync is left. One that promised goes first.
    fn reached_holder(&self, now: Time, c: &Colleagues) -> Option<Seat> {
        let view = &self.d.view;
        let promised = |s: &&Seat| self.agree.promises.contains_key(&s.id);
        let holds = |s: &&Seat| view.is_holder(s.id) && !self.contacts.lost(s.id, self.me.id, now);
        let voter = view.voters.iter().filter(promised).find(holds).copied();
        voter.or_else(|| self.steady_joiners(now, c).iter().find(holds).copied())
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
        if members.len() >= leaving + self.chain_least() {
            members.retain(|s| !c.stops(s.id));
        }
        members
    }

    /// Members that the chain keeps when one of them stops as planned.
    pub(crate) fn chain_least(&self) -> usize {
        self.copies.max(2)
    }

    /// The voters: those that leave or whose disk is gone replaced, two more where there are disks for
    /// them, two fewer where two are gone for good.
    fn next_voters(&self, chain: &[Seat], now: Time, c: &Colleagues) -> Vec<Seat> {
        let mut voters = self.d.view.voters.clone();
        let in_chain = |id: NodeId| chain.iter().any(|s| s.id == id);
        let leaves = |s: &Seat| c.stops(s.id) && !in_chain(s.id) && !planted(Bug::VoteKept);
        let gone = |s: &Seat| {
            let promised = self.agree.promises.contains_key(&s.id);
            let lost = s.id != self.me.id && !promised && self.missing(s.id, now, c);
            leaves(s) || lost
        };
        let mut candidates = self.steady_joiners(now, c);
        candidates.sort_by_key(|s| !in_chain(s.id));
        for seat in &candidates {
            if let Some(at) = voters.iter().position(gone) {
                voters[at] = *seat;
            }
        }
        candidates.retain(|s| !voters.iter().any(|v| v.id == s.id));
        if voters.len() + 2 <= VOTERS_MOST && candidates.len() >= 2 {
            voters.extend(&candidates[..2]);
        }
        let idle: Vec<NodeId> = voters
            .iter()
            .filter(|s| leaves(s) || (!in_chain(s.id) && self.gone_for_good(s.id, now, c)))
            .map(|s| s.id)
            .take(2)
            .collect();
        if voters.len() >= VOTERS_LEAST + 2 && idle.len() == 2 {
            voters.retain(|s| !idle.contains(&s.id));
        }
        voters
    }

    /// Voters that join the end of the chain. Where fewer members are in sync than must hold a change, whoever is reached
    /// joins at once: no change is taken until it is in sync.
    fn next_joiners(
        &self,
        voters: &[Seat],
        chain: &[Seat],
        now: Time,
        c: &Colleagues,
    ) -> Vec<Seat> {
        let promised = |id: NodeId| self.agree.promises.contains_key(&id);
        let needed = chain.len() < self.copies;
        let fits = |id: NodeId| match self.in_chain(id) {
            true => promised(id),
            false => self.fits_chain(id, now) || (needed && self.contacts.reaches(id, now)),
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
