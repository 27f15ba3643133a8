//! A change that is asked of the control chain, and its place in the log.
use crate::base::*;
use crate::state::Op;
use speedy::{Readable, Writable};

#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Ask {
    /// Names the change: the same change asked again under it gets its first verdict.
    pub id: u64,
    /// Names the question: its outcome goes to whoever waits for just this one.
    pub question: u64,
    pub from: Addr,
    pub at: u64,
    pub op: Op,
}

#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub struct Entry {
    pub mark: Mark,
    /// The agreed clock (ms) when the head appended it; see `clock`.
    pub clock: u64,
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
