//! Direct contact among the machines that hold control state.
//!
//! Gossip tells who is alive through anybody. Membership of the chain must not rest on it: a machine
//! that only third parties reach cannot replicate entries. Each machine with a disk therefore tells the
//! others directly, and never through a relay, whom it has heard of late. Two machines are in contact
//! when each has heard the other. The rows that a machine received form a graph, from which
//! [`membership`](crate::membership) picks the members of the next view.

use crate::base::*;
use std::collections::{BTreeMap, BTreeSet};

/// What one machine knows of its contact with another.
#[derive(Clone, speedy::Writable)]
struct Peer {
    /// When its last direct message came.
    heard: Time,
    /// Whom that message said its sender hears.
    hears: BTreeSet<NodeId>,
    /// Whether that message said that its sender's disk answers.
    disk_ready: bool,
    /// Since when contact has held with a disk that answers.
    since: Option<Time>,
    /// How long contact must hold before it may join.
    hold: Time,
}

/// The contact graph among control machines, as one of them sees it.
#[derive(Clone, speedy::Writable)]
pub struct Contacts {
    me: NodeId,
    started: Time,
    ticked: Time,
    next_report: Time,
    peers: BTreeMap<NodeId, Peer>,
}

/// What a machine tells the others of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Whom it has heard directly of late.
    pub hears: Vec<NodeId>,
    /// Whether its disk answers.
    pub disk_ready: bool,
}

impl Contacts {
    /// A graph without edges, for a process that starts now.
    pub fn new(me: NodeId, now: Time) -> Self {
        Contacts {
            me,
            started: now,
            ticked: now,
            next_report: 0,
            peers: BTreeMap::new(),
        }
    }

    /// Takes a report that came directly from `from`.
    pub fn take(&mut self, now: Time, from: NodeId, report: Report) {
        let peer = self.peers.entry(from).or_insert(Peer {
            heard: now,
            hears: BTreeSet::new(),
            disk_ready: true,
            since: None,
            hold: RETURN_FIRST,
        });
        peer.heard = now;
        peer.hears = report.hears.into_iter().collect();
        peer.disk_ready = report.disk_ready;
    }

    /// Follows the contact with each peer over time.
    pub fn tick(&mut self, now: Time) {
        let gap = now.saturating_sub(self.ticked);
        self.ticked = now;
        if gap > CONTACT_PAUSE {
            self.excuse_own_pause(gap);
        }
        let me = self.me;
        for peer in self.peers.values_mut() {
            let good = peer.in_contact(me, now) && peer.disk_ready;
            peer.follow(good, now);
        }
    }

    /// Time in which this process did not run is no silence of the others.
    fn excuse_own_pause(&mut self, gap: Time) {
        self.started += gap;
        for peer in self.peers.values_mut() {
            peer.heard += gap;
        }
    }

    /// What to tell the others, when that is due.
    pub fn report(&mut self, now: Time, disk_ready: bool) -> Option<Report> {
        if now < self.next_report {
            return None;
        }
        self.next_report = now + CONTACT_ROUND;
        let fresh = |(id, peer): (&NodeId, &Peer)| peer.fresh(now).then_some(*id);
        let hears = self.peers.iter().filter_map(fresh).collect();
        Some(Report { hears, disk_ready })
    }

    /// Whether this machine and `id` hear each other directly.
    pub fn reaches(&self, id: NodeId, now: Time) -> bool {
        id == self.me
            || self
                .peers
                .get(&id)
                .is_some_and(|p| p.in_contact(self.me, now))
    }

    /// Whether the link between two machines has to be taken for lost. Machines that were not heard
    /// yet are given time from the start of this process.
    pub fn lost(&self, a: NodeId, b: NodeId, now: Time) -> bool {
        if a == b || now < self.started + CONTACT_FIRST {
            return false;
        }
        !self.linked(a, b, now)
    }

    fn linked(&self, a: NodeId, b: NodeId, now: Time) -> bool {
        if a == self.me {
            return self.reaches(b, now);
        }
        if b == self.me {
            return self.reaches(a, now);
        }
        let row = |id: NodeId| self.peers.get(&id).filter(|p| p.fresh(now));
        match (row(a), row(b)) {
            (Some(of_a), Some(of_b)) => of_a.hears.contains(&b) && of_b.hears.contains(&a),
            _ => false,
        }
    }

    /// Whether the disk of `id` is known not to answer.
    pub fn disk_stalled(&self, id: NodeId, now: Time) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|p| p.fresh(now) && !p.disk_ready)
    }

    /// Whether contact with `id` has held long enough for it to join. The time doubles with each
    /// loss that comes soon after a return.
    pub fn steady(&self, id: NodeId, now: Time) -> bool {
        self.held_for(id, RETURN_MOST, now)
    }

    /// The same for a machine that is needed: the time grows no further than [`RETURN_NEEDED`].
    pub fn steady_if_needed(&self, id: NodeId, now: Time) -> bool {
        self.held_for(id, RETURN_NEEDED, now)
    }

    /// Whether contact with `id` has held for its time, or for `most`.
    fn held_for(&self, id: NodeId, most: Time, now: Time) -> bool {
        let held = |p: &Peer| p.since.is_some_and(|since| now >= since + p.hold.min(most));
        self.peers.get(&id).is_some_and(held)
    }

    /// Counts `id` as lost now, so that it joins again only after its time.
    pub fn set_back(&mut self, id: NodeId, now: Time) {
        if let Some(peer) = self.peers.get_mut(&id) {
            peer.follow(false, now);
        }
    }
}

impl Peer {
    fn fresh(&self, now: Time) -> bool {
        now < self.heard + CONTACT_LOST
    }

    fn in_contact(&self, me: NodeId, now: Time) -> bool {
        self.fresh(now) && self.hears.contains(&me)
    }

    fn follow(&mut self, good: bool, now: Time) {
        match (self.since, good) {
            (None, true) => self.since = Some(now),
            (Some(since), false) => {
                let flapped = now < since + RETURN_FORGET;
                self.since = None;
                self.hold = match flapped {
                    true => (self.hold * 2).min(RETURN_MOST),
                    false => RETURN_FIRST,
                };
            }
            _ => (),
        }
    }
}
