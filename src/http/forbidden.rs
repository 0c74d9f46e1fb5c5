//! Search for forbidden bytes in a streamed body.

use bytes::{Bytes, BytesMut};
use memchr::memmem::Finder;

use super::HttpError;

/// Searches the parts of one body for a forbidden byte sequence.
///
/// A suffix of a part that could be the start of a match is held back until the next part
/// arrives, so that not even a partial match is passed on.
#[derive(Debug)]
pub struct ForbiddenBytes {
    finder: Box<Finder<'static>>,
    held_back: Bytes,
}

impl ForbiddenBytes {
    /// Creates a search for `needle`. An empty one, which every part contains, is never found.
    pub fn new(needle: &[u8]) -> Self {
        Self {
            finder: Box::new(Finder::new(needle).into_owned()),
            held_back: Bytes::new(),
        }
    }

    /// Scans the next part and returns the bytes that may be passed on.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Forbidden`] if the body contains the forbidden bytes.
    pub fn scan(&mut self, part: Bytes) -> Result<Bytes, HttpError> {
        let mut joined = self.join(part);
        if !self.finder.needle().is_empty() && self.finder.find(&joined).is_some() {
            return Err(HttpError::Forbidden);
        }
        self.held_back = joined.split_off(joined.len() - self.partial_match_len(&joined));
        Ok(joined)
    }

    /// Returns the bytes held back, at the end of the body.
    pub fn finish(&mut self) -> Bytes {
        std::mem::take(&mut self.held_back)
    }

    fn join(&mut self, part: Bytes) -> Bytes {
        if self.held_back.is_empty() {
            return part;
        }
        let mut joined = BytesMut::with_capacity(self.held_back.len() + part.len());
        joined.extend_from_slice(&self.held_back);
        joined.extend_from_slice(&part);
        joined.freeze()
    }

    /// Returns the length of the longest suffix of `part` that is a prefix of the forbidden bytes.
    fn partial_match_len(&self, part: &[u8]) -> usize {
        let needle = self.finder.needle();
        let max_len = part.len().min(needle.len().saturating_sub(1));
        let is_prefix = |n: &usize| part.ends_with(&needle[..*n]);
        (1..=max_len).rev().find(is_prefix).unwrap_or(0)
    }
}
