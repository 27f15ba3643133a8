//! The newest entries of the replicated log, bounded by number and by bytes.

use crate::bounds::{APPEND_BYTES, APPEND_ENTRIES, LOG_KEPT_BYTES, LOG_KEPT_ENTRIES};
use crate::state::Entry;
use speedy::{LittleEndian, Writable};
use std::collections::VecDeque;

#[derive(Clone)]
struct Kept {
    entry: Entry,
    bytes: usize,
}

/// Consecutive entries up to the newest one. A reader that is behind the first needs a snapshot.
#[derive(Clone, Default)]
pub struct ReplicatedLog {
    kept: VecDeque<Kept>,
    bytes: usize,
}

fn encoded_bytes(entry: &Entry) -> usize {
    Writable::<LittleEndian>::bytes_needed(entry).unwrap_or(0)
}

impl ReplicatedLog {
    /// The entries held, oldest first.
    pub(crate) fn entries(&self) -> Vec<Entry> {
        self.kept.iter().map(|kept| kept.entry.clone()).collect()
    }

    /// Adds the next entry, and drops the oldest ones beyond the bounds that are synced here.
    pub fn append(&mut self, entry: Entry, synced: u64) {
        let bytes = encoded_bytes(&entry);
        self.bytes += bytes;
        self.kept.push_back(Kept { entry, bytes });
        while self.too_large() && self.first_index().is_some_and(|index| index <= synced) {
            self.drop_first();
        }
    }

    fn too_large(&self) -> bool {
        self.kept.len() > LOG_KEPT_ENTRIES || self.bytes > LOG_KEPT_BYTES
    }

    fn drop_first(&mut self) {
        if let Some(kept) = self.kept.pop_front() {
            self.bytes -= kept.bytes;
        }
    }

    /// Forgets everything, as when a snapshot was taken over.
    pub fn clear(&mut self) {
        *self = ReplicatedLog::default();
    }

    /// The log index of the oldest entry kept.
    pub fn first_index(&self) -> Option<u64> {
        self.kept.front().map(|kept| kept.entry.mark)
    }

    /// Encoded size of all entries kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Entries after index `after` up to index `last`, oldest first.
    pub fn range(&self, after: u64, last: u64) -> impl Iterator<Item = &Entry> {
        let first = self.first_index().unwrap_or(0);
        let skipped = (after + 1).saturating_sub(first) as usize;
        self.kept
            .iter()
            .skip(skipped)
            .map(|kept| &kept.entry)
            .take_while(move |entry| entry.mark <= last)
    }

    /// True when the log reaches back to the entry that follows index `after`.
    pub fn reaches(&self, after: u64, newest: u64) -> bool {
        after + 1 >= self.first_index().unwrap_or(newest + 1)
    }

    /// A batch for one message: at least one entry where there is one, else within the batch bounds.
    pub fn batch(&self, after: u64, last: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let within = |entry: &&Entry| {
            let first = bytes == 0;
            bytes += encoded_bytes(entry);
            first || bytes <= APPEND_BYTES
        };
        self.range(after, last)
            .take(APPEND_ENTRIES)
            .take_while(within)
            .cloned()
            .collect()
    }

    /// The entries beyond index `confirmed`, newest first.
    fn unconfirmed(&self, confirmed: u64) -> impl Iterator<Item = &Entry> {
        let newest = self.kept.iter().rev().map(|kept| &kept.entry);
        newest.take_while(move |entry| entry.mark > confirmed)
    }

    /// True when one of the entries beyond index `confirmed` carries the change `id`.
    pub fn awaits(&self, id: u64, confirmed: u64) -> bool {
        self.unconfirmed(confirmed).any(|entry| entry.ask.id == id)
    }

    /// How many of the entries beyond index `confirmed` are changes that can wait.
    pub fn upkeep(&self, confirmed: u64) -> usize {
        self.unconfirmed(confirmed)
            .filter(|entry| entry.ask.op.can_wait())
            .count()
    }
}
