//! A caller's session and transaction as this node holds them, the requests of a session, and their answers.

use crate::base::*;
use crate::own_commits::OwnCommits;
use crate::wire::{Done, SetUp};

#[derive(Clone, PartialEq)]
pub enum TxnState {
    Open,
    Broken(String),
}

pub struct TxnAt {
    pub key: u64,
    pub id: String,
    pub fence: NodeId,
    pub via: NodeId,
    pub epoch: Mark,
    pub state: TxnState,
}

pub struct Session {
    pub db: usize,
    pub entry: Option<String>,
    pub tenant: Option<String>,
    pub setup: SetUp,
    pub txn: Option<TxnAt>,
    /// The id of a transaction whose begin waits for its first statement.
    pub deferred: Option<String>,
    pub own_commits: OwnCommits,
    pub last: Time,
    pub busy: bool,
}

impl Session {
    /// Whether its caller was told that a transaction began and did not end it, also while nothing was sent to a
    /// server.
    pub fn in_transaction(&self) -> bool {
        self.txn.is_some() || self.deferred.is_some()
    }
}

/// The kind of a request: by its name, or one of the two that the session's entry gives.
pub enum Want {
    Kind(String),
    Reads,
    Writes,
}

/// What a caller is answered when its request succeeded.
#[derive(Clone, Debug)]
pub enum Answer {
    Opened {
        session: u64,
        node: NodeId,
        region: String,
    },
    Set,
    Prepared,
    Released,
    Closed,
    RolledBack,
    Begun,
    Ran(Box<Ran>),
    Text(serde_json::Value),
}

#[derive(Clone, Debug)]
pub struct Ran {
    pub id: String,
    pub done: Done,
    pub tries: usize,
    pub step: bool,
    pub leaving: bool,
}

pub enum Req {
    Open {
        db: String,
        user: String,
        tenant: Option<String>,
        settings: Vec<(String, String)>,
    },
    Set {
        session: u64,
        name: String,
        value: String,
    },
    Enter {
        entry: String,
        user: String,
    },
    Prepare {
        session: u64,
        name: String,
        text: String,
    },
    Release {
        session: u64,
        name: String,
    },
    Run {
        session: u64,
        kind: Want,
        id: Option<String>,
        body: String,
        prepared: Option<String>,
        budget: Option<Time>,
    },
    /// `lazy`: nothing is sent before the first statement.
    Begin {
        session: u64,
        kind: Option<Want>,
        id: Option<String>,
        lazy: bool,
        budget: Option<Time>,
    },
    Commit {
        session: u64,
        body: String,
        budget: Option<Time>,
    },
    Rollback {
        session: u64,
    },
    Close {
        session: u64,
    },
    Explain {
        id: String,
    },
    Figures,
    Verdicts,
}

impl Req {
    pub fn session(&self) -> Option<u64> {
        match self {
            Req::Set { session, .. }
            | Req::Prepare { session, .. }
            | Req::Release { session, .. }
            | Req::Run { session, .. }
            | Req::Begin { session, .. }
            | Req::Commit { session, .. }
            | Req::Rollback { session }
            | Req::Close { session } => Some(*session),
            _ => None,
        }
    }
}

pub fn upsert(v: &mut Vec<(String, String)>, k: String, x: String) {
    v.retain(|(n, _)| *n != k);
    v.push((k, x));
}
