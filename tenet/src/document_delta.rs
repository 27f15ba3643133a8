//! Differences between two versions of the configuration document.
//!
//! A change is recorded and sent as ranges of the old document and the text between them, so that
//! its cost grows with the change and not with the configuration.

use crate::document::{digest_of_text, Document};
use speedy::{Readable, Writable};
use std::collections::HashMap;

/// One piece of the new document: a range of the old one, or new text.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub enum DeltaPart {
    /// Bytes of the old document.
    Copy { offset: u32, length: u32 },
    /// Bytes that the old document does not hold there.
    Insert(Vec<u8>),
}

/// What makes one document out of another; both are known by their digests.
#[derive(Clone, Debug, PartialEq, Readable, Writable)]
pub struct DocumentDelta {
    base: u64,
    result: u64,
    length: u32,
    parts: Vec<DeltaPart>,
}

/// The document held is not the one that the difference was made against.
#[derive(Debug, PartialEq)]
pub struct WrongBase;

/// The largest document for which room is made at once.
const DOCUMENT_MOST: usize = 16 << 20;
/// Length of the blocks of the old document that are looked for in the new one.
const BLOCK: usize = 32;
const HASH_FACTOR: u64 = 0x0100_0000_01b3;

impl DocumentDelta {
    /// The difference from `old` to `new`.
    pub fn between(old: &Document, new: &str) -> Self {
        DocumentDelta {
            base: old.digest(),
            result: digest_of_text(new),
            length: new.len() as u32,
            parts: parts_between(old.as_bytes(), new.as_bytes()),
        }
    }

    /// The digest of the document that it leads to.
    pub fn result(&self) -> u64 {
        self.result
    }

    /// True when `old` is the document that it was made against.
    pub fn fits(&self, old: &Document) -> bool {
        self.base == old.digest()
    }

    /// The new document. Both digests must agree.
    pub fn apply(&self, old: &Document) -> Result<Document, WrongBase> {
        if !self.fits(old) {
            return Err(WrongBase);
        }
        let mut bytes = Vec::with_capacity((self.length as usize).min(DOCUMENT_MOST));
        for part in &self.parts {
            bytes.extend_from_slice(part.bytes(old.as_bytes()).ok_or(WrongBase)?);
            if bytes.len() > self.length as usize {
                return Err(WrongBase);
            }
        }
        let text = String::from_utf8(bytes).map_err(|_| WrongBase)?;
        let new = Document::new(&text);
        (new.digest() == self.result)
            .then_some(new)
            .ok_or(WrongBase)
    }
}

impl DeltaPart {
    fn bytes<'a>(&'a self, old: &'a [u8]) -> Option<&'a [u8]> {
        match self {
            DeltaPart::Insert(bytes) => Some(bytes),
            DeltaPart::Copy { offset, length } => {
                let start = *offset as usize;
                old.get(start..start.checked_add(*length as usize)?)
            }
        }
    }
}

/// Hash of a block that can be moved on by one byte.
fn block_hash(block: &[u8]) -> u64 {
    block.iter().fold(0, |hash: u64, byte| {
        hash.wrapping_mul(HASH_FACTOR).wrapping_add(*byte as u64)
    })
}

fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(x, y)| x == y).count()
}

fn common_suffix(a: &[u8], b: &[u8]) -> usize {
    let pairs = a.iter().rev().zip(b.iter().rev());
    pairs.take_while(|(x, y)| x == y).count()
}

/// Collects parts; neighbouring new bytes become one insertion.
struct PartsBuilder<'a> {
    new: &'a [u8],
    inserted_from: usize,
    parts: Vec<DeltaPart>,
}

impl PartsBuilder<'_> {
    fn insert_up_to(&mut self, end: usize) {
        if self.inserted_from < end {
            let bytes = self.new[self.inserted_from..end].to_vec();
            self.parts.push(DeltaPart::Insert(bytes));
        }
        self.inserted_from = end;
    }

    fn copy(&mut self, offset: usize, at: usize, length: usize) {
        self.insert_up_to(at);
        if length > 0 {
            self.parts.push(DeltaPart::Copy {
                offset: offset as u32,
                length: length as u32,
            });
        }
        self.inserted_from = at + length;
    }
}

fn parts_between(old: &[u8], new: &[u8]) -> Vec<DeltaPart> {
    let prefix = common_prefix(old, new);
    let suffix = common_suffix(&old[prefix..], &new[prefix..]);
    let mut builder = PartsBuilder {
        new,
        inserted_from: 0,
        parts: Vec::new(),
    };
    builder.copy(0, 0, prefix);
    copy_known_blocks(old, prefix..new.len() - suffix, &mut builder);
    builder.copy(old.len() - suffix, new.len() - suffix, suffix);
    builder.parts
}

/// Finds the blocks of `old` in a range of the new document, and takes each match as long as it goes.
fn copy_known_blocks(old: &[u8], range: std::ops::Range<usize>, builder: &mut PartsBuilder) {
    let new = &builder.new[..range.end];
    if range.len() < BLOCK {
        return;
    }
    let blocks: HashMap<u64, usize> = old
        .chunks_exact(BLOCK)
        .enumerate()
        .map(|(i, block)| (block_hash(block), i * BLOCK))
        .collect();
    let drop_first = (1..BLOCK).fold(1u64, |factor, _| factor.wrapping_mul(HASH_FACTOR));
    let mut at = range.start;
    let mut hash = block_hash(&new[at..at + BLOCK]);
    loop {
        let known = blocks.get(&hash).copied();
        let length = known.map_or(0, |offset| common_prefix(&old[offset..], &new[at..]));
        if let Some(offset) = known.filter(|_| length >= BLOCK) {
            let before = common_suffix(&old[..offset], &new[builder.inserted_from..at]);
            builder.copy(offset - before, at - before, before + length);
            at += length;
            if at + BLOCK > new.len() {
                return;
            }
            hash = block_hash(&new[at..at + BLOCK]);
            continue;
        }
        if at + BLOCK >= new.len() {
            return;
        }
        hash = hash
            .wrapping_sub((new[at] as u64).wrapping_mul(drop_first))
            .wrapping_mul(HASH_FACTOR)
            .wrapping_add(new[at + BLOCK] as u64);
        at += 1;
    }
}
