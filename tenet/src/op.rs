//! The changes that the log holds.

use crate::amend::DocumentOrder;
use crate::base::*;
use crate::document_delta::DocumentDelta;
use crate::labels::Labels;
use speedy::{Readable, Writable};

/// A change of the replicated state.
///
/// `db`, `server` and `domain` are names. `epoch` is the one that the change was decided in: it is rejected
/// with `StaleBase` in another one. `why` is for people, in an audit event.
#[derive(Clone, Readable, Writable, PartialEq, Debug)]
pub enum Op {
    /// A configuration over the one taken at log index `base`; `StaleBase` when another one is in force.
    Config {
        /// Log index of the configuration that it replaces; 0 for the first.
        base: Mark,
        text: String,
    },
    /// Holds when its version is above the one held; else it changes nothing. `document` is the
    /// digest of what the operator sent, by which a repeat is told from another configuration.
    Publish {
        version: u64,
        document: u64,
        text: String,
    },
    /// A configuration as the log records it: a difference to the document held before.
    Amend {
        order: DocumentOrder,
        delta: DocumentDelta,
    },
    /// Evacuates a zone, or takes it back.
    Evacuate {
        domain: String,
        /// False: it is taken back.
        on: bool,
    },
    /// Keeps new work from a server, or takes it back.
    Drain {
        server: String,
        /// False: it is taken back.
        on: bool,
    },
    /// A process joins the fleet.
    Enrol {
        id: NodeId,
        addr: Addr,
        http: Addr,
        domain: String,
        disk: bool,
    },
    /// An event of `charts/member.json` for a process of the fleet.
    Phase {
        id: NodeId,
        /// `settle`, `expel` or `forget`.
        event: String,
    },
    /// A server says what it is; see `Server`.
    Announce {
        server: String,
        addr: Addr,
        domain: String,
        labels: Labels,
        life: u64,
        leads: bool,
        leaving: bool,
        terms: bool,
        seq: u64,
    },
    /// A server has left.
    Depart {
        server: String,
        /// The last announcement that counts as late; 0: all of them do. `departed::STILL_RUNNING`: all of
        /// them do, and its process may still run.
        seq: u64,
    },
    /// Who fences a database, and who are its gateways.
    Place {
        db: String,
        fencers: Vec<NodeId>,
        gateways: Vec<NodeId>,
    },
    /// The first primary of a database, which was seen to lead.
    Adopt {
        db: String,
        /// The one server that says it leads.
        server: String,
    },
    /// A planned change of primary begins: no new work, open transactions may end.
    Close {
        db: String,
        epoch: Mark,
        why: String,
    },
    /// The change is given up, and the old primary goes on.
    Reopen {
        db: String,
        epoch: Mark,
        why: String,
    },
    /// The primary is taken out: no lease from here on names it.
    Offline {
        db: String,
        epoch: Mark,
        why: String,
    },
    /// The server that is to be promoted. `any`: it need not be a replica in sync.
    Target {
        db: String,
        epoch: Mark,
        server: String,
        asker: NodeId,
        any: bool,
    },
    /// Another process asks for the promotion from now on.
    Asker {
        db: String,
        epoch: Mark,
        asker: NodeId,
    },
    /// The target leads: it is the primary of a new epoch.
    Promoted {
        db: String,
        epoch: Mark,
        server: String,
    },
    /// A replica is to be counted as in sync, once it has caught up.
    HeirJoin {
        db: String,
        epoch: Mark,
        server: String,
    },
    /// It has caught up, and is.
    HeirFull {
        db: String,
        epoch: Mark,
        server: String,
    },
    /// It is not any more. The last one stays.
    HeirLeave {
        db: String,
        epoch: Mark,
        server: String,
        why: String,
    },
    /// The platform will not promote the target; another one is chosen.
    Rejected {
        db: String,
        epoch: Mark,
        server: String,
    },
    /// Evacuations that may overlap: each order is ended by one of its own. An order without an id
    /// that comes again within `repeat_window` ms of the agreed clock is taken as the same one.
    Hold {
        domain: String,
        on: bool,
        repeat_window: u64,
    },
    /// A published configuration without its text: confirmed if it was confirmed before, refused
    /// with `otherwise` if not.
    Confirm {
        version: u64,
        document: u64,
        otherwise: String,
    },
}

impl Op {
    /// Whether the change keeps the record of members and servers up to date, comes in bulk, and is
    /// proposed again until it is taken. Orders, words of leaving and failovers go before it.
    pub fn can_wait(&self) -> bool {
        match self {
            Op::Enrol { .. } | Op::Phase { .. } | Op::Place { .. } => true,
            Op::Announce { leaving, .. } => !leaving,
            _ => false,
        }
    }
}
