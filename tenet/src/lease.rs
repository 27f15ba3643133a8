//! The lease of the tail: it serves reads and grants leases to followers only while a majority of the
//! voters lets it. A voter accepts no new view until the lease that it granted has run out.

use crate::base::*;
use crate::chain::{Chain, Out};
use crate::colleagues::Colleagues;
use crate::membership::majority;
use crate::wire::Msg;
use std::collections::BTreeMap;

/// Both sides of the lease: what this machine holds as a tail, and what it granted as a voter.
#[derive(Clone, speedy::Writable)]
pub struct TailLease {
    /// Counts what was asked for.
    pub seq: u64,
    /// When each request that is still open was made.
    pub asks: BTreeMap<u64, Time>,
    /// By voter: when the newest request that it granted was made.
    pub got: BTreeMap<NodeId, Time>,
    /// Until when this machine holds the lease.
    pub until: Time,
    /// When to ask next.
    pub next: Time,
    /// Until when a lease that this voter granted may be held.
    pub granted: Time,
    /// The newest request that was granted.
    pub granted_seq: u64,
}

impl TailLease {
    /// Nothing held. A process that starts may have granted in its life before, so it counts one full
    /// lease as granted.
    pub fn new(now: Time) -> Self {
        TailLease {
            seq: 0,
            asks: BTreeMap::new(),
            got: BTreeMap::new(),
            until: 0,
            next: 0,
            granted: now + TAIL_PERMIT + TAIL_DRIFT,
            granted_seq: 0,
        }
    }

    /// Whether this machine may serve as the tail now.
    pub fn holds(&self, now: Time) -> bool {
        now < self.until
    }
}

impl Chain {
    /// Numbers the requests of this life of the process from `first` on, so that a late grant to an
    /// earlier life counts for nothing.
    pub fn requesting_from(mut self, first: u64) -> Self {
        self.tail.seq = first;
        self
    }

    /// Asks the voters for the next lease, when that is due.
    pub(crate) fn ask_for_lease(&mut self, now: Time, c: &Colleagues, out: &mut Out) {
        if !self.is_tail() || now < self.tail.next {
            return;
        }
        self.tail.next = now + TAIL_PERMIT / 4;
        self.tail.seq += 1;
        let (view, seq) = (self.d.view.n, self.tail.seq);
        self.tail.asks.insert(seq, now);
        self.tail.asks.retain(|_, t| now < *t + TAIL_PERMIT);
        self.to_voters(Msg::TailAsk { view, seq }, c, out);
    }

    /// Gives the lease back, so that the voters need not wait until it has run out.
    pub(crate) fn give_tail(&mut self, c: &Colleagues, out: &mut Out) {
        if self.is_tail() && self.tail.until > 0 {
            (self.tail.until, self.tail.seq) = (0, self.tail.seq + 1);
            self.tail.asks.clear();
            self.tail.got.clear();
            let (view, seq) = (self.d.view.n, self.tail.seq);
            self.to_voters(Msg::TailGive { view, seq }, c, out);
        }
    }

    /// Takes a message about leases; others are dropped.
    pub(crate) fn lease_take(
        &mut self,
        now: Time,
        from: NodeId,
        addr: Addr,
        m: Msg,
        out: &mut Out,
    ) {
        let current = self.d.view.n;
        let from_tail = self.d.view.chain.last().is_some_and(|s| s.id == from);
        let from_voter = self.d.view.voters.iter().any(|s| s.id == from);
        match m {
            Msg::TailAsk { view, seq } if view == current && from_tail && self.grants(now) => {
                self.tail.granted_seq = self.tail.granted_seq.max(seq);
                let until = now + TAIL_PERMIT + TAIL_DRIFT;
                self.tail.granted = self.tail.granted.max(until);
                out.late.push((addr, Msg::TailGrant { view, seq }));
            }
            Msg::TailGive { view, seq }
                if view == current && from_tail && seq >= self.tail.granted_seq =>
            {
                self.tail.granted = now;
            }
            Msg::TailGrant { view, seq } if view == current && from_voter => {
                self.lease_granted(from, seq);
            }
            _ => (),
        }
    }

    /// A voter grants until it has accepted a value, or is asked to.
    fn grants(&self, now: Time) -> bool {
        let votes = self.d.view.voters.iter().any(|s| s.id == self.me.id);
        votes && self.d.accepted == 0 && now >= self.agree.accepting_until
    }

    fn lease_granted(&mut self, from: NodeId, seq: u64) {
        let Some(asked) = self.tail.asks.get(&seq).copied() else {
            return;
        };
        let newest = self.tail.got.entry(from).or_insert(asked);
        *newest = (*newest).max(asked);
        let mut asked_at: Vec<Time> = self.tail.got.values().copied().collect();
        asked_at.sort_unstable_by(|a, b| b.cmp(a));
        let held_by_majority = asked_at.get(majority(&self.d.view) - 1);
        self.tail.until = held_by_majority.map_or(0, |t| t + TAIL_PERMIT);
    }
}
