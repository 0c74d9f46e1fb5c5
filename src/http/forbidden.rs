//! Search for bytes that a body must not contain.

use bytes::{Bytes, BytesMut};
use memchr::memmem::Finder;

use super::HttpError;

/// Searches the parts of one body for bytes that it must not contain.
///
/// The end of a part that may be the beginning of the forbidden bytes is held back until the next
/// part tells, so that not even the beginning of a match is passed on.
#[derive(Debug)]
pub struct ForbiddenBytes {
    finder: Box<Finder<'static>>,
    held: Bytes,
}

impl ForbiddenBytes {
    /// Makes a search for `needle`.
    pub fn new(needle: &[u8]) -> Self {
        Self {
            finder: Box::new(Finder::new(needle).into_owned()),
            held: Bytes::new(),
        }
    }

    /// Takes the next part and returns what may be passed on.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Forbidden`] when the body contains the forbidden bytes.
    pub fn pass(&mut self, part: Bytes) -> Result<Bytes, HttpError> {
        let mut whole = self.join(part);
        if self.finder.find(&whole).is_some() {
            return Err(HttpError::Forbidden);
        }
        self.held = whole.split_off(whole.len() - self.open_end(&whole));
        Ok(whole)
    }

    /// Returns what was held back; the body has ended.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.held)
    }

    fn join(&mut self, part: Bytes) -> Bytes {
        if self.held.is_empty() {
            return part;
        }
        let mut whole = BytesMut::with_capacity(self.held.len() + part.len());
        whole.extend_from_slice(&self.held);
        whole.extend_from_slice(&part);
        whole.freeze()
    }

    /// Returns the length of the longest end of `part` that begins the forbidden bytes.
    fn open_end(&self, part: &[u8]) -> usize {
        let needle = self.finder.needle();
        let longest = part.len().min(needle.len().saturating_sub(1));
        let open = |n: &usize| part.ends_with(&needle[..*n]);
        (1..=longest).rev().find(open).unwrap_or(0)
    }
}
