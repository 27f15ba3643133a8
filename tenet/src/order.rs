//! A change that is asked of the control chain, and its place in the log.
use crate::base::*;
use crate::state::Op;
use speedy::{Readable, Writable};

/// An order: a change and who asked for it.
#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Ask {
    /// Names the change: the same change asked again under it gets its first verdict.
    pub id: u64,
    /// Names the question: its outcome goes to whoever waits for just this one.
    pub question: u64,
    /// Where its outcome goes.
    pub from: Addr,
    /// Time of day (ms) of whoever took it, for audit events only.
    pub at: u64,
    /// The change.
    pub op: Op,
}

/// An order at its place in the log.
#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Entry {
    /// Its log index, one above that of the entry before.
    pub mark: Mark,
    /// The agreed clock (ms) when the head appended it; see `clock`.
    pub clock: u64,
    /// The order.
    pub ask: Ask,
}

impl Ask {
    /// A change whose outcome nobody waits for.
    pub fn unanswered(id: u64, op: Op) -> Ask {
        Ask {
            id,
            question: 0,
            from: Addr::NONE,
            at: 0,
            op,
        }
    }
}

impl Entry {
    /// An entry that leaves the agreed clock where it is.
    pub fn unstamped(mark: Mark, ask: Ask) -> Self {
        Entry {
            mark,
            clock: 0,
            ask,
        }
    }
}
