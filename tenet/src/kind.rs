//! The one closed list of error kinds, each with its name, HTTP code, when to come back (s) and what was kept.

use speedy::{Readable, Writable};
use std::fmt;

macro_rules! kinds {
    ($($v:ident $n:literal $code:literal $retry:literal $kept:literal;)*) => {
        #[derive(Clone, Copy, PartialEq, Eq, Debug, Readable, Writable)]
        pub enum Kind { $($v),* }
        pub struct Row { pub kind: Kind, pub name: &'static str, pub code: u16, pub retry: u32, pub kept: &'static str }
        pub const TABLE: &[Row] = &[$(Row { kind: Kind::$v, name: $n, code: $code, retry: $retry, kept: $kept }),*];
    };
}

kinds! {
    BadRequest "bad-request" 400 0 "nothing";
    UnknownSession "unknown-session" 404 0 "nothing";
    UnknownDatabase "unknown-database" 404 0 "nothing";
    UnknownKind "unknown-kind" 404 0 "nothing";
    UnknownName "unknown-name" 404 0 "nothing";
    NoRoute "no-route" 404 0 "nothing";
    TooLarge "too-large" 413 0 "nothing";
    BadState "bad-state" 409 0 "nothing";
    OtherBody "other-body" 409 0 "unchanged";
    StaleBase "stale-base" 409 0 "unchanged";
    BadConfig "bad-config" 422 0 "unchanged";
    Failed "failed" 422 0 "nothing";
    Aborted "aborted" 409 1 "nothing";
    Busy "busy" 503 1 "nothing";
    NotCurrent "not-current" 503 1 "nothing";
    NoPrimary "no-primary" 503 2 "nothing";
    NoHome "no-home" 503 5 "nothing";
    NoCopies "no-copies" 503 2 "nothing";
    Leaving "leaving" 503 1 "nothing";
    Starting "starting" 503 1 "nothing";
    TooLate "too-late" 504 1 "nothing";
    Unknown "unknown" 504 1 "unknown";
}

impl Kind {
    pub fn row(self) -> &'static Row {
        &TABLE[self as usize]
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.row().name)
    }
}

#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub struct Reject {
    pub kind: Kind,
    pub why: String,
}

impl Reject {
    pub fn new(kind: Kind, why: impl Into<String>) -> Self {
        Reject {
            kind,
            why: why.into(),
        }
    }
}

impl From<Kind> for Reject {
    fn from(kind: Kind) -> Self {
        Reject::new(kind, "")
    }
}

impl fmt::Display for Reject {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.kind, self.why)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    #[test]
    fn each_row_stands_at_its_kind() {
        for (i, r) in TABLE.iter().enumerate() {
            assert_eq!(r.kind as usize, i);
            assert!(
                r.retry > 0 || r.code < 500,
                "{} sends no time to come back",
                r.name
            );
        }
    }
}
