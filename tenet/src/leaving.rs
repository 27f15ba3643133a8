//! For how long a node goes on giving new work to a server that is leaving, drained or evacuated.
//!
//! Invariant: no new work goes to a server later than [`LEAVING_SERVES`] after its word could have been
//! acknowledged. What a node knows for certain is that the server was in service when the node asked for
//! the lease under which its table said so; the word came after that moment, so the grace is counted from
//! it. A node without such a table, since it has just started or first sees the server leaving, grants no
//! grace. No clock of another machine is read, so none can lag.

use crate::base::{Time, LEAVING_SERVES, PERMIT};
use crate::plant::{planted, Bug};
use crate::table::{ServerRow, Table};

/// Whether a server gets new work from this node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum NewWork {
    /// It is in service.
    #[default]
    Given,
    /// It is leaving; it gets new work up to this time.
    Until(Time),
    /// It is leaving, and how long it has been is not known here.
    Refused,
}

impl NewWork {
    /// What holds after a new table at the time `now`. `in_service_at` is when the server was last known for certain to be
    /// in service, if it ever was.
    pub fn next(self, row: &ServerRow, in_service_at: Option<Time>, now: Time) -> NewWork {
        match (self, row.off.is_some(), in_service_at) {
            (_, false, _) => NewWork::Given,
            (NewWork::Given, true, _) if planted(Bug::LeavingCountedAnew) => {
                NewWork::Until(now + LEAVING_SERVES)
            }
            (NewWork::Given, true, Some(at)) => NewWork::Until(at + LEAVING_SERVES),
            (NewWork::Given, true, None) => NewWork::Refused,
            (leaving, true, _) => leaving,
        }
    }

    /// Whether the server is leaving and gets no new work any more.
    pub fn is_over(self, now: Time) -> bool {
        match self {
            NewWork::Given => false,
            NewWork::Until(end) => now > end,
            NewWork::Refused => true,
        }
    }
}

/// The moments for which a node's table holds for certain.
pub(crate) struct Certainty<'a> {
    /// The table that the node worked from so far.
    pub table: Option<&'a Table>,
    /// When the lease under which it worked from that table ends; 0 before the first.
    pub lease_until: Time,
}

impl Certainty<'_> {
    /// When a server was last known for certain to be in service.
    pub fn in_service_at(&self, server: usize) -> Option<Time> {
        let row = self.table?.servers.get(server)?;
        let known = row.off.is_none() && self.lease_until > 0;
        known.then(|| self.lease_until.saturating_sub(PERMIT))
    }
}
