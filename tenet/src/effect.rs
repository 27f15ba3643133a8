//! The inputs of the control machine (`In`), what it wants done (`Effect`), and what it starts with (`Start`).

use crate::base::*;
use crate::disk::{Durable, Rec};
use crate::kind::Reject;
use crate::pilot::Promote;
use crate::state::{Op, Verdict};
use crate::table::Table;
use crate::wire::{Packet, Sight};
use std::sync::Arc;

/// An input of the control machine.
pub enum In {
    /// The time it asked to be called at has come.
    Wakeup,
    /// A packet of another process.
    Packet(Packet),
    /// All records up to that number are on disk.
    Synced(u64),
    /// An order. With `id` it may be given again, anywhere, and has its first outcome.
    Ask {
        /// Names it in the answer.
        call: u64,
        id: Option<u64>,
        op: Op,
    },
    /// An announcement of a server.
    Announce {
        /// Names it in the answer.
        call: u64,
        op: Op,
    },
    /// A question about what this node holds; `call` names it in the answer.
    Show {
        call: u64,
        what: String,
        arg: String,
    },
    /// What this node observes of servers.
    Sights(Vec<Sight>),
    /// This node has nothing under way for `db` in the failover step of log index `since`.
    Clean {
        db: String,
        /// `Db::since`.
        since: Mark,
    },
    /// What came of a promotion. `Ok`: accepted, and whether the server leads already. `Err`: whether it may
    /// yet happen.
    Promoted {
        db: String,
        epoch: Mark,
        server: String,
        done: Result<bool, bool>,
    },
    /// Other seeds.
    Seeds(Vec<Addr>),
    /// The process is to stop.
    Stopping,
}

/// The answer to a call.
pub enum Reply {
    /// The outcome of an order.
    Verdict(Verdict),
    /// JSON.
    Text(String),
    /// It was refused here.
    Reject(Reject),
}

/// What the control machine wants done.
#[derive(Default)]
pub struct Effect {
    /// Packets, with where they go.
    pub send: Vec<(Addr, Packet)>,
    /// Records for the disk, with the number to be told once they are synced.
    pub write: Option<(u64, Vec<Rec>)>,
    /// Answers to calls.
    pub response: Vec<(u64, Reply)>,
    /// Promotions to ask the platform for.
    pub promote: Vec<Promote>,
    /// A new table for the data plane, and until when (ms) the lease holds.
    pub news: Option<(Arc<Table>, Time)>,
    /// Lines for the log.
    pub log: Vec<String>,
    /// When it wants to be called at the latest (ms).
    pub wakeup: Time,
}

/// What a control machine starts with.
pub struct Start {
    /// Where its packets come.
    pub addr: Addr,
    /// Where its HTTP interface is.
    pub http: Addr,
    /// Its zone.
    pub domain: String,
    /// Whether it has a disk: it is then part of the control plane.
    pub disk: bool,
    /// Whom to ask first.
    pub seeds: Vec<Addr>,
    /// The fleet may be founded now: it starts for the first time.
    pub found: bool,
    /// Who founds it; empty: the three processes with a disk.
    pub founders: Vec<Addr>,
    /// Synced copies that an acknowledged change needs.
    pub copies: usize,
    /// What its disk holds; none on an empty one and without a disk.
    pub durable: Option<Durable>,
    /// Random, and drawn anew at each start.
    pub seed: u64,
    /// Wall clock at the start (ms).
    pub wall: u64,
    /// The newest wire form that it speaks.
    pub wire: u8,
}
