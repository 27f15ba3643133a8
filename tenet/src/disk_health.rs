//! Whether the disk of this machine answers: how long it has finished nothing while writes wait.

use crate::base::*;
use std::collections::VecDeque;

/// The writes that were handed to the disk and are not synced yet.
#[derive(Clone, Default)]
pub struct DiskHealth {
    waiting: VecDeque<u64>,
    /// When the disk last finished a batch, or was handed one while idle.
    progress: Time,
}

impl DiskHealth {
    /// A batch of writes was handed to the disk.
    pub fn began(&mut self, seq: u64, now: Time) {
        if self.waiting.is_empty() {
            self.progress = now;
        }
        self.waiting.push_back(seq);
    }

    /// All batches up to `seq` are synced.
    pub fn synced(&mut self, seq: u64, now: Time) {
        self.progress = now;
        while self.waiting.front().is_some_and(|s| *s <= seq) {
            self.waiting.pop_front();
        }
    }

    /// Whether the disk made progress of late, or has nothing to do.
    pub fn ready(&self, now: Time) -> bool {
        self.idle() || now < self.progress + DISK_STALLED
    }

    /// The batches that wait, and when the disk last made progress.
    pub(crate) fn waiting(&self) -> (Vec<u64>, Time) {
        (self.waiting.iter().copied().collect(), self.progress)
    }

    /// Whether nothing is on its way to the disk.
    pub fn idle(&self) -> bool {
        self.waiting.is_empty()
    }
}
