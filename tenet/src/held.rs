use crate::base::*;
use crate::wire::SetUp;

#[derive(Clone, Copy)]
pub enum Use {
    Poll(usize, Time),
    Job(usize),
    Nobody,
}

pub struct Relay {
    pub addr: Addr,
    pub go: u64,
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
