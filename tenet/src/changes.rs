//! The tail's answer to a follower.

use crate::bounds::LARGE_BYTES;
use crate::snapshot::SnapshotId;
use crate::state::Entry;
use speedy::{LittleEndian, Readable, Writable};

/// What a follower lacks.
#[derive(Clone, Readable, Writable)]
pub enum Changes {
    /// Entries that follow on what it has, in order; none when it has all.
    Entries(Vec<Entry>),
    /// What is asked for is not in the log: a snapshot to be read instead.
    Snapshot(SnapshotId),
}

impl Changes {
    /// Too much to send twice while it is on its way.
    pub fn large(&self) -> bool {
        match self {
            Changes::Snapshot(_) => false,
            Changes::Entries(entries) => {
                let bytes = Writable::<LittleEndian>::bytes_needed(entries);
                bytes.is_ok_and(|bytes| bytes >= LARGE_BYTES)
            }
        }
    }
}
