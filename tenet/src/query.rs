//! What a node asks of a database server and what it may answer, free of any protocol. `NotSent` means that no
//! byte left; `Lost` means that it may have run.

use crate::wire::SetUp;
use std::fmt;

/// What a node asks of a database server. Positions (`pos`, `after`) order the server's log.
#[derive(Clone, Debug)]
pub enum Query {
    Connect {
        service: String,
        server: String,
        user: String,
    },
    /// Makes the connection's settings and prepared statements those of `setup`. With `from` the
    /// connection is known to hold just those, and nothing else of it may change.
    Reset {
        conn: u64,
        from: Option<SetUp>,
        setup: SetUp,
    },
    Begin {
        conn: u64,
        after: u64,
        read_only: bool,
    },
    /// `after`: the log must hold this position, 0 for any.
    Run {
        conn: u64,
        id: Option<String>,
        writes: bool,
        body: String,
        after: u64,
    },
    Commit {
        conn: u64,
        id: String,
        body: String,
    },
    Rollback {
        conn: u64,
    },
    Close {
        conn: u64,
    },
    Outcome {
        id: String,
    },
    Position {
        service: String,
        server: String,
    },
}

/// `term` counts the leads of a server that numbers them; `follows` is then empty.
#[derive(Clone, Debug, Default)]
pub struct Position {
    pub life: u64,
    pub term: u64,
    pub pos: u64,
    pub follows: String,
    pub leads: bool,
    pub link: bool,
}

/// What a server gave. `result` is passed on unread.
#[derive(Clone, Debug)]
pub enum Got {
    Connected {
        conn: u64,
    },
    Done,
    Ran {
        pos: u64,
        result: String,
        repeat: bool,
    },
    Position(Position),
    Outcome {
        found: Option<(u64, String)>,
        life: u64,
        leads: bool,
    },
}

/// A server's rejection. Each means that nothing was kept.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Refusal {
    NotLeading,
    OtherBody,
    ConnClosed,
    Failed,
    Busy,
    Behind,
    WrongServer,
    Other,
}

#[derive(Clone, Debug)]
pub enum BackRes {
    Ok(Got),
    Rejected(Refusal, String),
    NotSent,
    Lost,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Refusal::NotLeading => "does not lead:",
            Refusal::OtherBody => "id known with another body:",
            Refusal::ConnClosed => "no such connection:",
            Refusal::Failed => "failed:",
            Refusal::Busy => "busy:",
            Refusal::Behind => "its log is behind:",
            Refusal::WrongServer => "another server:",
            Refusal::Other => "rejected:",
        })
    }
}

pub(crate) fn word(r: &BackRes) -> String {
    match r {
        BackRes::Ok(_) => "an answer without sense".into(),
        BackRes::Rejected(c, w) => format!("{c} {w}"),
        BackRes::NotSent => "not reached".into(),
        BackRes::Lost => "no answer".into(),
    }
}
