//! The configuration document as shared, immutable text.

use crate::base::mix;
use speedy::{Context, Readable, Reader, Writable, Writer};
use std::fmt;
use std::ops::Deref;
use std::sync::Arc;

/// Immutable text that is shared by all who hold it, with its digest.
#[derive(Clone)]
pub struct Document {
    text: Arc<str>,
    digest: u64,
}

impl Document {
    /// Takes the text over and computes its digest once.
    pub fn new(text: &str) -> Self {
        Document {
            digest: digest_of_text(text),
            text: text.into(),
        }
    }

    /// The digest of the text, as `digest_of_text` gives it.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

impl Default for Document {
    fn default() -> Self {
        Document::new("")
    }
}

impl Deref for Document {
    type Target = str;

    fn deref(&self) -> &str {
        &self.text
    }
}

impl From<&str> for Document {
    fn from(text: &str) -> Self {
        Document::new(text)
    }
}

impl PartialEq for Document {
    fn eq(&self, other: &Document) -> bool {
        let shared = Arc::ptr_eq(&self.text, &other.text);
        shared || (self.digest == other.digest && self.text == other.text)
    }
}

impl PartialEq<String> for Document {
    fn eq(&self, other: &String) -> bool {
        *self.text == **other
    }
}

impl PartialEq<Document> for String {
    fn eq(&self, other: &Document) -> bool {
        **self == *other.text
    }
}

impl PartialEq<Document> for &str {
    fn eq(&self, other: &Document) -> bool {
        **self == *other.text
    }
}

impl fmt::Debug for Document {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "document {:x}, {} bytes", self.digest, self.text.len())
    }
}

impl<'a, C: Context> Readable<'a, C> for Document {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        String::read_from(reader).map(|text| Document::new(&text))
    }
}

impl<C: Context> Writable<C> for Document {
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        (*self.text).write_to(writer)
    }
}

const WORD: usize = 8;

/// A digest of a whole document, taken in words of eight bytes.
pub fn digest_of_text(text: &str) -> u64 {
    let seed = mix(text.len() as u64);
    text.as_bytes().chunks(WORD).fold(seed, |digest, chunk| {
        let mut word = [0; WORD];
        word[..chunk.len()].copy_from_slice(chunk);
        mix(digest ^ u64::from_le_bytes(word))
    })
}
