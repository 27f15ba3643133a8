//! A request as nodes pass it on, and what came of it.
use crate::base::*;
use speedy::{Readable, Writable};

#[derive(Clone, PartialEq, Debug, Default, Readable, Writable)]
pub struct SetUp {
    pub user: String,
    pub settings: Vec<(String, String)>,
    pub prepared: Vec<(String, String)>,
}

#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub enum Act {
    Single,
    Begin,
    Step,
    Commit,
    Rollback,
    Pos,
    /// Begins, and runs the first statement.
    First,
    /// Begins and commits, with nothing between.
    Whole,
}

impl Act {
    pub fn inside(&self) -> bool {
        matches!(self, Act::Step | Act::Commit | Act::Rollback)
    }

    pub fn commits(&self) -> bool {
        matches!(self, Act::Commit | Act::Whole)
    }
}

#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub struct Load {
    pub db: String,
    pub id: String,
    pub act: Act,
    pub txn: u64,
    pub writes: bool,
    pub look_up: bool,
    pub budget: Time,
    pub limit: Time,
    pub after: u64,
    pub setup: SetUp,
    pub body: String,
    pub regions: Vec<String>,
    pub hops: Vec<NodeId>,
    pub fence: NodeId,
    pub session: u64,
    pub epoch: Mark,
}

#[derive(Clone, PartialEq, Debug, Readable, Writable)]
pub struct Done {
    pub body: String,
    pub epoch: Mark,
    pub pos: u64,
    pub age: Time,
    pub fence: NodeId,
    pub repeat: bool,
    pub hops: Vec<NodeId>,
    pub server: String,
}
