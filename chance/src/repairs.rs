//! Losses of a voting machine and their repair, for days of `chance`.
use crate::fault::Fault::{self, *};
use crate::node::Node;
use crate::sim::*;
use tenet::base::*;

/// From the loss of a machine to the start of its successor.
pub(crate) const SUCCESSOR_AFTER: Time = 1000;

/// What the first loss and its repair leave behind.
pub(crate) struct Repair {
    pub faults: Vec<(Time, Fault)>,
    /// When the successor was started.
    pub started: Time,
    /// The machine that was lost, and the one that stands in for it.
    pub lost: usize,
    pub successor: usize,
}

/// A machine with a disk beside those that found the fleet, not started yet.
pub(crate) fn spare(s: &mut Sim, like: usize) -> usize {
    let i = s.nodes.len();
    let old = &s.nodes[like];
    let node = Node {
        drift: old.drift,
        copies: old.copies,
        spare: true,
        ..Node::new(i, node_addr(i), old.domain.clone(), true, old.sync_ms)
    };
    s.nodes.push(node);
    i
}

pub(crate) fn replaced(s: &mut Sim, lost: usize, at: Time) -> Repair {
    let successor = spare(s, lost);
    let started = at + SUCCESSOR_AFTER;
    Repair {
        faults: vec![(at, Remove(lost)), (started, Start(successor))],
        started,
        lost,
        successor,
    }
}

pub(crate) fn replaced_as_planned(s: &mut Sim, lost: usize, at: Time) -> Repair {
    let successor = spare(s, lost);
    Repair {
        faults: vec![(at, Start(successor)), (at + SUCCESSOR_AFTER, Leave(lost))],
        started: at,
        lost,
        successor,
    }
}

pub(crate) fn wiped(lost: usize, at: Time) -> Repair {
    let started = at + SUCCESSOR_AFTER;
    Repair {
        faults: vec![(at, Wipe(lost)), (started, Start(lost))],
        started,
        lost,
        successor: lost,
    }
}

pub(crate) fn repair(s: &mut Sim, voters: &[usize], at: Time) -> Repair {
    let lost = voters[s.roll(voters.len() as u64) as usize];
    match s.roll(3) {
        0 => replaced(s, lost, at),
        1 => replaced_as_planned(s, lost, at),
        _ => wiped(lost, at),
    }
}

impl Repair {
    /// The voters after it.
    pub fn voters(&self, before: &[usize]) -> Vec<usize> {
        let stays = before.iter().copied().filter(|i| *i != self.lost);
        stays.chain([self.successor]).collect()
    }
}
