//! Packets between processes and their encoding. The first byte carries the generation and the form a packet needs;
//! a packet of another generation or a newer form is refused by number.

use crate::base::*;
pub use crate::changes::Changes;
use crate::disk::{Seat, View};
use crate::kind::Reject;
pub use crate::load::*;
use crate::snapshot::{SnapshotId, SnapshotPart, SnapshotReader};
use crate::state::*;
use speedy::{Readable, Writable};

/// The newest form that this build speaks.
pub const WIRE: u8 = 2;
const GENERATION: u8 = 0x40;

/// What gossip carries of a process.
#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub struct Summary {
    /// The process.
    pub id: NodeId,
    /// Where its packets go.
    pub addr: Addr,
    /// Where its HTTP interface is.
    pub http: Addr,
    /// Its zone.
    pub domain: String,
    /// It is part of the control plane.
    pub disk: bool,
    /// Its incarnation: it rises when the process refutes a suspicion. The higher one counts.
    pub life: u32,
    /// `ALIVE`, `SUSPECT` or `GONE`, as whoever sent this has it.
    pub status: u8,
    /// Number of the newest view that it knows.
    pub view: Mark,
    /// Log index that its copy of the state is at.
    pub mark: Mark,
    /// It holds a lease and a configuration, and does not stop.
    pub allows: bool,
    /// It is stopping.
    pub stopping: bool,
}

/// A node's observation of a server.
#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub struct Sight {
    /// The server.
    pub server: String,
    /// The incarnation that it said.
    pub life: u64,
    /// How long ago (ms) it was seen; when it is not reached, how long ago it was last heard.
    pub age: Time,
    /// Whether this node reaches it.
    pub reach: bool,
    /// The position that its log had.
    pub pos: u64,
    /// Whom it follows.
    pub follows: String,
    /// It said that it takes writes.
    pub leads: bool,
    /// It said that it is connected to whom it follows.
    pub link: bool,
}

/// A message. Those that carry a view, an instance or a sequence number count only for the present one.
#[derive(Clone, Readable, Writable)]
pub enum Msg {
    /// Failure detection: is it there? Carries gossip, as its answer does.
    Probe {
        seq: u32,
        news: Vec<Summary>,
    },
    /// The answer to probe `seq`.
    ProbeAck {
        seq: u32,
        news: Vec<Summary>,
    },
    /// Asks a third process to probe whoever is at `target`.
    ProbeFor {
        seq: u32,
        target: Addr,
        news: Vec<Summary>,
    },
    /// The founding vote of the sender.
    Pledge {
        set: Vec<Seat>,
    },
    ViewAsk,
    /// The newest view that the sender knows.
    ViewIs {
        view: View,
    },
    /// First phase of the agreement on view `inst`.
    Prepare {
        inst: Mark,
        ballot: u64,
    },
    /// Its answer: the view that the voter is in sync with, and what it accepted before.
    Promise {
        inst: Mark,
        ballot: u64,
        whole: Mark,
        accepted: u64,
        value: Option<View>,
    },
    /// Second phase: accept this view.
    Accept {
        inst: Mark,
        ballot: u64,
        value: View,
    },
    /// Its answer.
    Accepted {
        inst: Mark,
        ballot: u64,
    },
    /// A higher ballot was promised: this one.
    Nack {
        inst: Mark,
        ballot: u64,
    },
    /// The tail asks a voter for its lease.
    TailAsk {
        view: Mark,
        seq: u64,
    },
    /// The voter grants it, counted from when request `seq` was made.
    TailGrant {
        view: Mark,
        seq: u64,
    },
    /// Entries for the successor, which follow on log index `prev`.
    Append {
        view: Mark,
        prev: Mark,
        entries: Vec<Entry>,
    },
    /// The successor has synced everything up to `mark`.
    Have {
        view: Mark,
        mark: Mark,
    },
    /// Asks for the part of a snapshot from an offset on; for an unknown snapshot one is offered.
    SnapshotAsk {
        view: Mark,
        reader: SnapshotReader,
        id: SnapshotId,
        offset: u32,
    },
    /// A snapshot that may be read.
    SnapshotOffer {
        view: Mark,
        reader: SnapshotReader,
        id: SnapshotId,
    },
    /// A part of it.
    SnapshotPart {
        view: Mark,
        reader: SnapshotReader,
        part: SnapshotPart,
    },
    /// An order, on its way to the head.
    Propose {
        ask: Ask,
    },
    /// Answers the question of that number.
    Outcome {
        question: u64,
        verdict: Verdict,
    },
    /// Question `seq` of a follower: what follows on log index `have` in that cluster, and a lease.
    Refresh {
        seq: u64,
        have: Mark,
        cluster: u64,
    },
    /// Its answer. `seq` 0: no lease is given, as there is more to come.
    Fresh {
        seq: u64,
        have: Mark,
        part: Changes,
        view: View,
    },
    /// There is news, up to log index `mark`.
    Nudge {
        mark: Mark,
    },
    /// Observations of servers, for the head.
    Sights {
        v: Vec<Sight>,
    },
    /// A fencing node has nothing under way for a failover step (log index `epoch`).
    Clean {
        db: String,
        epoch: Mark,
    },
    /// A request for another node: attempt `go`, meant for process `to`, to be answered by `by` on that
    /// node's clock.
    Carry {
        go: u64,
        to: NodeId,
        by: Time,
        load: Load,
    },
    /// Answers attempt `go` that the process `to` sent to the process `asked`; the one that lives at
    /// its address now may say that it was not there.
    Carried {
        to: NodeId,
        asked: NodeId,
        go: u64,
        clock: Time,
        done: Result<Done, Reject>,
    },
    /// Whom a control machine hears directly, and whether its disk answers. Never relayed.
    Contact {
        hears: Vec<NodeId>,
        disk_ready: bool,
    },
    /// The newest wire form that the sender reads.
    Speaks {
        wire: u8,
    },
    /// The tail gives its lease back.
    TailGive {
        view: Mark,
        seq: u64,
    },
    /// Asks for a sign of life, or is one.
    Echo {
        reply: bool,
    },
    /// A packet for `to` from a process that does not reach it itself.
    Relay {
        to: Addr,
        packet: Vec<u8>,
    },
    /// As `ProbeFor`, for just that process at the address.
    ProbeOf {
        seq: u32,
        target: Addr,
        id: NodeId,
        news: Vec<Summary>,
    },
}

/// A message with its sender.
#[derive(Clone, Readable, Writable)]
pub struct Packet {
    /// Who sends it.
    pub from: NodeId,
    /// Where the sender is reached.
    pub addr: Addr,
    /// The founding that the sender belongs to; 0: none, or the data plane.
    pub cluster: u64,
    /// The message.
    pub msg: Msg,
}

const SMALL: usize = 1200;

/// Whether a packet of `n` bytes goes over a stream instead of as a datagram.
pub fn by_line(p: &Packet, n: usize) -> bool {
    n > SMALL || matches!(p.msg, Msg::Carry { .. } | Msg::Carried { .. })
}

/// The form that a message needs.
pub fn form(m: &Msg) -> u8 {
    match m {
        Msg::Speaks { .. } | Msg::TailGive { .. } | Msg::ProbeOf { .. } => 2,
        _ => 1,
    }
}

/// A packet as bytes.
pub fn encode(p: &Packet) -> Vec<u8> {
    let mut v = vec![GENERATION | form(&p.msg)];
    v.extend(p.write_to_vec().unwrap_or_default());
    v
}

/// Reads a packet; an error names a generation or form that this build does not read.
pub fn decode(b: &[u8]) -> Result<Packet, String> {
    match b.split_first() {
        Some((&v, r)) if (1..=WIRE).contains(&(v ^ GENERATION)) => {
            Packet::read_from_buffer(r).map_err(|e| e.to_string())
        }
        Some((v, _)) => Err(format!("wire version {v}, this process speaks {WIRE}")),
        None => Err("empty packet".into()),
    }
}
