//! Snapshots of the control state, sent in parts that a reader asks for one by one.
//!
//! The sender keeps one encoded snapshot while somebody reads it; the reader asks for the part that
//! follows what it holds, so that a lost part or a broken line costs that part and nothing else.

use crate::base::{digest, Time};
use crate::bounds::{SNAPSHOT_AGAIN, SNAPSHOT_KEPT, SNAPSHOT_MOST, SNAPSHOT_PART};
use crate::state::State;
use speedy::{Readable, Writable};

/// Names one encoded snapshot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Readable, Writable)]
pub struct SnapshotId {
    /// Log index of the last entry in it.
    pub index: u64,
    /// Digest of its bytes.
    pub digest: u64,
    /// Bytes in all.
    pub length: u32,
}

/// Who reads a snapshot: the next replica of the chain, or a follower of the tail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Readable, Writable)]
pub enum SnapshotReader {
    /// The next replica of the chain.
    Successor,
    /// Any process that keeps a copy of the state.
    Follower,
}

/// Bytes of a snapshot from an offset on.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct SnapshotPart {
    /// The snapshot that it is part of.
    pub id: SnapshotId,
    /// Where it begins, in bytes.
    pub offset: u32,
    /// At most `SNAPSHOT_PART` bytes.
    pub bytes: Vec<u8>,
}

/// The snapshot that is being sent, encoded once for all its readers.
#[derive(Clone, Default, Writable)]
pub struct SnapshotSender {
    current: Option<(SnapshotId, Vec<u8>)>,
    used: Time,
}

impl SnapshotSender {
    /// The snapshot to offer: the one being read while the log still follows on it, else a new one.
    /// `oldest` is the oldest index that a reader may be at to go on from the log.
    pub fn offer(&mut self, now: Time, state: &State, oldest: u64) -> SnapshotId {
        self.used = now;
        match &self.current {
            Some((id, _)) if id.index >= oldest => *id,
            _ => self.encode(state),
        }
    }

    fn encode(&mut self, state: &State) -> SnapshotId {
        let bytes = state.write_to_vec().unwrap_or_default();
        let id = SnapshotId {
            index: state.mark,
            digest: digest(&bytes),
            length: bytes.len() as u32,
        };
        self.current = Some((id, bytes));
        id
    }

    /// The part of snapshot `id` from `offset` on; none when it is not the current one.
    pub fn part(&mut self, now: Time, id: SnapshotId, offset: u32) -> Option<SnapshotPart> {
        let (current, all) = self.current.as_ref()?;
        let rest = all.get(offset as usize..)?;
        if *current != id || rest.is_empty() {
            return None;
        }
        self.used = now;
        let bytes = rest[..rest.len().min(SNAPSHOT_PART)].to_vec();
        Some(SnapshotPart { id, offset, bytes })
    }

    /// Forgets the snapshot when nobody has read it for a while.
    pub fn expire(&mut self, now: Time) {
        if now > self.used + SNAPSHOT_KEPT {
            self.clear();
        }
    }

    /// Forgets the snapshot, as when this replica's own state was replaced.
    pub fn clear(&mut self) {
        self.current = None;
    }
}

/// What a part of a snapshot led to.
pub enum Received {
    /// It was not the part that was asked for.
    Ignored,
    /// The next part is to be asked for.
    More { id: SnapshotId, offset: u32 },
    /// The snapshot is whole.
    Whole(Box<State>),
    /// All parts are there and they don't make the snapshot that was named; it begins anew.
    Damaged,
}

/// A snapshot on its way to this reader.
#[derive(Clone, Default, Writable)]
pub struct SnapshotReceiver {
    id: SnapshotId,
    bytes: Vec<u8>,
    asked: Time,
}

impl SnapshotReceiver {
    /// True while parts of a snapshot are held and more are to come.
    pub fn active(&self) -> bool {
        self.id != SnapshotId::default()
    }

    /// What to ask for now: the part that follows, or any snapshot; none while a part is on its way.
    pub fn ask_again(&mut self, now: Time) -> Option<(SnapshotId, u32)> {
        if self.asked > 0 && now < self.asked + SNAPSHOT_AGAIN {
            return None;
        }
        self.asked = now;
        Some((self.id, self.bytes.len() as u32))
    }

    /// Takes an offer: says from which offset on to ask, unless a part is still on its way.
    pub fn offered(&mut self, now: Time, id: SnapshotId) -> Option<u32> {
        let same = id == self.id;
        if id.length as usize > SNAPSHOT_MOST || (same && now < self.asked + SNAPSHOT_AGAIN) {
            return None;
        }
        if !same {
            self.id = id;
            self.bytes.clear();
        }
        self.asked = now;
        Some(self.bytes.len() as u32)
    }

    /// Takes a part.
    pub fn take(&mut self, now: Time, part: &SnapshotPart) -> Received {
        let expected = self.bytes.len();
        if part.id != self.id || part.offset as usize != expected || part.bytes.is_empty() {
            return Received::Ignored;
        }
        self.bytes.extend_from_slice(&part.bytes);
        if self.bytes.len() < self.id.length as usize {
            self.asked = now;
            let offset = self.bytes.len() as u32;
            return Received::More {
                id: self.id,
                offset,
            };
        }
        self.finish()
    }

    fn finish(&mut self) -> Received {
        let SnapshotReceiver { id, bytes, .. } = std::mem::take(self);
        if bytes.len() != id.length as usize || digest(&bytes) != id.digest {
            return Received::Damaged;
        }
        match State::read_from_buffer(&bytes) {
            Ok(state) if state.mark == id.index => Received::Whole(Box::new(state)),
            _ => Received::Damaged,
        }
    }
}
