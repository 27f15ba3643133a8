//! Stand-in servers that number their terms, replicate late and look no outcome up.

mod replication;
mod server;
mod serving;
mod statements;

pub use server::Server;

use std::collections::BTreeMap;

/// Bits of a position that hold the number of the entry; the term stands above them.
pub const NUMBER: u32 = 40;
/// Ids below this one are never given out.
const FIRST_ID: u64 = 100;

/// A fault planted into the servers, which the checker must find.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub enum Flaw {
    /// None.
    #[default]
    None,
    /// Reads ignore the position that the log must hold.
    GuardIgnored,
    /// Some writes take effect twice.
    WrittenTwice,
    /// Some writes take effect and are refused.
    KeptAndRefused,
    /// A connection keeps the settings of its last user.
    NotReset,
    /// Some statements get the answer of another one.
    OthersAnswer,
    /// A new leader lacks its last entries.
    LeadsWithLess,
}

/// One entry of a log.
#[derive(Clone)]
pub struct Line {
    /// Its position: term and number.
    pub pos: u64,
    /// Id of the statement or commit.
    pub id: String,
    /// Keys and values that it writes.
    pub puts: Vec<(String, String)>,
    /// When the leader wrote it, ms.
    pub at: u64,
}

/// An open transaction.
pub struct Txn {
    /// Its number.
    pub serial: u64,
    /// Term in which it began.
    pub term: u64,
    /// Keys and values that it writes.
    pub puts: Vec<(String, String)>,
}

/// One connection to a server.
#[derive(Default)]
pub struct Conn {
    /// Session options.
    pub options: BTreeMap<String, String>,
    /// Prepared statements by name.
    pub names: BTreeMap<String, String>,
    /// The open transaction.
    pub txn: Option<Txn>,
}

/// One statement or commit as its server ran it.
pub struct Run {
    /// When, ms.
    pub at: u64,
    /// The server's number.
    pub server: usize,
    /// The connection's id.
    pub conn: u64,
    /// Number of the open transaction.
    pub txn: Option<u64>,
    /// Id of the statement.
    pub id: String,
    /// Its text.
    pub text: String,
    /// Text that was prepared under the name that it executes.
    pub shape: Option<String>,
    /// Options of the connection.
    pub options: BTreeMap<String, String>,
    /// How many entries of its log stood in the leader's, too.
    pub holds: usize,
    /// What it answered.
    pub body: String,
}

/// An entry that a promotion cut from the end of the log.
pub struct Cut {
    /// When, ms.
    pub at: u64,
    /// Id of the statement or commit.
    pub id: String,
    /// Database.
    pub service: String,
}

/// All stand-in servers, and what the checker needs to know of them.
#[derive(Default)]
pub struct Fleet {
    /// The servers.
    pub servers: Vec<Server>,
    /// By database, the server that leads.
    pub leader: BTreeMap<String, usize>,
    /// All that servers ran, oldest first.
    pub runs: Vec<Run>,
    /// Time and id of all that took effect.
    pub kept: Vec<(u64, String)>,
    /// All entries that promotions cut.
    pub cut: Vec<Cut>,
    /// Rules that the servers saw broken.
    pub faults: Vec<String>,
    /// Time and server of promotions under way.
    pub moves: Vec<(u64, usize)>,
    /// By database, the highest fencing token seen.
    pub tokens: BTreeMap<String, u64>,
    /// The planted fault.
    pub flaw: Flaw,
    /// Seed of all delays.
    pub seed: u64,
    pub(crate) next: u64,
}

/// The first word and the rest.
pub fn split(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

/// Number of entries at the beginning that two logs share.
pub fn shared(left: &[Line], right: &[Line]) -> usize {
    let mut len = left.len().min(right.len());
    while len > 0 && left[len - 1].pos != right[len - 1].pos {
        len -= 1;
    }
    len
}

impl Fleet {
    /// Servers by name, database and connection limit; the first of each database leads.
    pub fn new(names: Vec<(String, String, usize)>, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            seed,
            next: FIRST_ID,
            ..Fleet::default()
        };
        for (name, service, cap) in names {
            let leads = !fleet.leader.contains_key(&service);
            if leads {
                fleet.leader.insert(service.clone(), fleet.servers.len());
            }
            fleet.servers.push(Server {
                name,
                service,
                up: true,
                leads,
                term: 1,
                cap,
                ..Server::default()
            });
        }
        fleet
    }

    pub(crate) fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}
