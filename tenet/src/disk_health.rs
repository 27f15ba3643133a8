//! Whether the disk of this machine answers: how long its oldest write has waited.

use crate::base::*;
use std::collections::VecDeque;

/// The writes that were handed to the disk and are not synced yet.
#[derive(Clone, Default)]
pub struct DiskHealth {
    waiting: VecDeque<(u64, Time)>,
}

impl DiskHealth {
    /// A batch of writes was handed to the disk.
    pub fn began(&mut self, seq: u64, now: Time) {
        self.waiting.push_back((seq, now));
    }

    /// All batches up to `seq` are synced.
    pub fn synced(&mut self, seq: u64) {
        while self.waiting.front().is_some_and(|(s, _)| *s <= seq) {
            self.waiting.pop_front();
        }
    }

    /// Whether no batch has waited too long.
    pub fn ready(&self, now: Time) -> bool {
        self.waiting
            .front()
            .is_none_or(|(_, began)| now < *began + DISK_STALLED)
    }

    /// The batches that wait, and since when.
    pub(crate) fn waiting(&self) -> Vec<(u64, Time)> {
        self.waiting.iter().copied().collect()
    }

    /// Whether nothing is on its way to the disk.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty()
    }
}
