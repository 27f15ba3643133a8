//! What the data plane holds for others: attempts sent out, requests passed on, open transactions, calls to
//! servers. Each names the process that may answer it.

use crate::base::*;
use crate::kind::Reject;
use crate::wire::{Done, Msg, SetUp};

#[derive(Clone, Copy)]
pub enum Use {
    Poll(usize, Time),
    Job(usize),
    Nobody,
}

/// Whose question a node works at: the process that asked (each life of one has its own id), its
/// address, and the number that it gave the attempt.
#[derive(Clone, Copy, PartialEq)]
pub struct Asker {
    pub node: NodeId,
    pub addr: Addr,
    pub go: u64,
    /// The process that the attempt was meant for: this one, or one that lived here before.
    pub asked: NodeId,
}

impl Asker {
    pub fn reply(&self, now: Time, done: Result<Done, Reject>) -> (Addr, Msg) {
        let answer = Msg::Carried {
            to: self.node,
            asked: self.asked,
            go: self.go,
            clock: now,
            done,
        };
        (self.addr, answer)
    }
}

/// An attempt of a request that was sent to another node: only that node may answer it.
pub struct Attempt {
    pub trip: usize,
    pub gateway: NodeId,
}

pub struct Relay {
    pub asker: Asker,
    pub to: NodeId,
    pub until: Time,
}

pub struct TxnHeld {
    pub conn: u64,
    pub setup: SetUp,
    pub server: usize,
    pub db: usize,
    pub epoch: Mark,
    pub session: u64,
    pub last: Time,
    pub busy: bool,
    pub life: u64,
}
