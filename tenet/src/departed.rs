//! Servers that have left, so that an announcement that comes late does not bring one back.

use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// Instead of the number of an announcement: the server says that it is gone, but its process may still run
/// and hold commits that no other one has. All of its announcements count as late.
pub const STILL_RUNNING: u64 = u64::MAX - 1;
/// How many are remembered; the one that left first is forgotten first.
const REMEMBERED: usize = 1024;

/// Names of servers that left, with the number of the last announcement that counts as late.
#[derive(Clone, Default, Readable, Writable)]
pub struct DepartedServers {
    sequences: BTreeMap<String, u64>,
    oldest_first: Vec<String>,
}

impl DepartedServers {
    /// A server has left; announcements up to `sequence` are late, all of them when that is 0.
    pub fn add(&mut self, server: &str, sequence: u64) {
        let last = if sequence == 0 { u64::MAX } else { sequence };
        if self.sequences.insert(server.into(), last).is_some() {
            self.oldest_first.retain(|name| name != server);
        }
        self.oldest_first.push(server.into());
        if self.oldest_first.len() > REMEMBERED {
            let oldest = self.oldest_first.remove(0);
            self.sequences.remove(&oldest);
        }
    }

    /// Whether a server said that it is gone, and was not yet found to have ended.
    pub fn may_still_run(&self, server: &str) -> bool {
        self.sequences.get(server) == Some(&STILL_RUNNING)
    }

    /// Whether an announcement of that number was made before the server left.
    pub fn is_late(&self, server: &str, sequence: u64) -> bool {
        let last = self.sequences.get(server);
        sequence > 0 && last.is_some_and(|last| sequence <= *last)
    }
}
