//! Which document was confirmed under which version number.
use speedy::{Readable, Writable};
use std::collections::BTreeMap;

/// How many versions are remembered; the lowest are forgotten first.
pub const VERSIONS_KEPT: usize = 1024;

/// Confirmed versions, each with the digest of its document as the operator sent it. It holds
/// versions that were in force and versions that were passed over: either was confirmed once, so
/// no other document may be confirmed under its number.
#[derive(Clone, Debug, Default, PartialEq, Readable, Writable)]
pub struct ConfirmedVersions {
    digests: BTreeMap<u64, u64>,
}

/// How a document stands to what was confirmed under its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The number was never confirmed, or so long ago that it is forgotten.
    New,
    /// The same document was confirmed.
    Repeat,
    /// Another document was confirmed.
    Conflict,
}

impl ConfirmedVersions {
    /// How `document`, a digest, stands to what was confirmed under `version`.
    pub fn standing(&self, version: u64, document: u64) -> Standing {
        match self.digests.get(&version) {
            None => Standing::New,
            Some(known) if *known == document => Standing::Repeat,
            Some(_) => Standing::Conflict,
        }
    }

    /// Remembers `document` under `version`, and forgets the lowest version past the bound.
    pub fn record(&mut self, version: u64, document: u64) {
        self.digests.insert(version, document);
        if self.digests.len() > VERSIONS_KEPT {
            self.digests.pop_first();
        }
    }

    /// How many versions are remembered.
    pub fn len(&self) -> usize {
        self.digests.len()
    }

    /// Whether nothing was confirmed yet.
    pub fn is_empty(&self) -> bool {
        self.digests.is_empty()
    }
}
