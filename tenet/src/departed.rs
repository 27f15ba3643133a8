//! Servers that have left, so that an announcement that comes late does not bring one back.

use speedy::{Readable, Writable};
use std::collections::BTreeMap;

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

    /// Whether an announcement of that number was made before the server left.
    pub fn is_late(&self, server: &str, sequence: u64) -> bool {
        let last = self.sequences.get(server);
        sequence > 0 && last.is_some_and(|last| sequence <= *last)
    }
}
