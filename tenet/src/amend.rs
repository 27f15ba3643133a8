//! Configurations as the log records them: differences to the document held before.

use crate::apply::{stale, Res};
use crate::base::*;
use crate::document::{digest_of_text, Document};
use crate::document_delta::DocumentDelta;
use crate::kind::Kind;
use crate::state::*;
use speedy::{LittleEndian, Readable, Writable};

/// Which configuration a document is to follow.
#[derive(Clone, Copy, Debug, PartialEq, Readable, Writable)]
pub enum DocumentOrder {
    /// It follows the one accepted at this log index.
    Base(Mark),
    /// It holds when its version is above the one held. `sent` is the digest of what the operator sent.
    Version { version: u64, sent: u64 },
}

/// What tells one change from another under the same id. A configuration counts by its order and its
/// document, whether it is recorded whole or as a difference.
pub(crate) fn fingerprint(op: &Op) -> u64 {
    match op {
        Op::Config { base, text } => of_base(*base, digest_of_text(text)),
        Op::Publish {
            version, document, ..
        }
        | Op::Confirm {
            version, document, ..
        } => of_version(*version, *document),
        Op::Amend { order, delta } => match order {
            DocumentOrder::Base(base) => of_base(*base, delta.result()),
            DocumentOrder::Version { version, sent } => of_version(*version, *sent),
        },
        _ => digest(&op.write_to_vec().unwrap_or_default()),
    }
}

const BASE_TAG: u64 = 1;
const VERSION_TAG: u64 = 2;

fn of_base(base: Mark, document: u64) -> u64 {
    mix(mix(BASE_TAG ^ mix(base)) ^ document)
}

fn of_version(version: u64, sent: u64) -> u64 {
    mix(mix(VERSION_TAG ^ mix(version)) ^ sent)
}

impl Op {
    /// The same change as a difference to the document `held`, where that is shorter.
    pub(crate) fn amending(self, held: &Document) -> Op {
        let (order, text) = match &self {
            Op::Config { base, text } => (DocumentOrder::Base(*base), text),
            Op::Publish {
                version,
                document,
                text,
            } => {
                let (version, sent) = (*version, *document);
                (DocumentOrder::Version { version, sent }, text)
            }
            _ => return self,
        };
        let delta = DocumentDelta::between(held, text);
        let bytes = Writable::<LittleEndian>::bytes_needed(&delta).unwrap_or(usize::MAX);
        match bytes < text.len() {
            true => Op::Amend { order, delta },
            false => self,
        }
    }
}

impl State {
    /// False when the entry records a difference to another document than the one held: what is here
    /// is not what the entry follows on, and a snapshot is needed.
    pub fn fits(&self, entry: &Entry) -> bool {
        match &entry.ask.op {
            Op::Amend { delta, .. } => delta.fits(&self.cfg),
            _ => true,
        }
    }

    /// Takes a configuration, whole or as a difference.
    pub(crate) fn configure(&mut self, ask: &Ask) -> Res {
        match &ask.op {
            Op::Config { base, text } => self.config(ask.at, *base, text),
            Op::Publish {
                version,
                document,
                text,
            } => self.publish(ask.at, *version, *document, text),
            Op::Amend { order, delta } => self.amend(ask.at, *order, delta),
            _ => Err(Kind::BadRequest.into()),
        }
    }

    fn amend(&mut self, at: u64, order: DocumentOrder, delta: &DocumentDelta) -> Res {
        let document = delta
            .apply(&self.cfg)
            .map_err(|_| stale("the difference was made against another document"))?;
        match order {
            DocumentOrder::Base(base) => self.config(at, base, &document),
            DocumentOrder::Version { version, sent } => self.publish(at, version, sent, &document),
        }
    }
}
