//! Streaming decoder for message bodies with bounded memory.

use bytes::{Buf, Bytes, BytesMut};
use monoio_codec::{Decoded, Decoder};

use super::{BodyKind, ForbiddenBytes, HttpError};

/// Maximum number of hexadecimal digits in a chunk size.
const MAX_SIZE_DIGITS: usize = 15;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkLineEnd,
    LastLineEnd,
    UntilClose,
    Done,
}

/// Decodes one message body incrementally, part by part.
///
/// Chunk extensions and trailers are rejected.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    /// Decoded bytes that were put back and are yielded next.
    put_back: Bytes,
    forbidden: Option<ForbiddenBytes>,
    /// Remaining limit on the total size of the chunks.
    chunk_bytes_left: u64,
}

impl BodyDecoder {
    /// Creates a decoder for a body of `kind`.
    pub fn new(kind: BodyKind) -> Self {
        let state = match kind {
            BodyKind::Empty | BodyKind::Fixed(0) => State::Done,
            BodyKind::Fixed(n) => State::Fixed(n),
            BodyKind::Chunked => State::ChunkSize,
            BodyKind::UntilClose => State::UntilClose,
        };
        Self {
            state,
            put_back: Bytes::new(),
            forbidden: None,
            chunk_bytes_left: u64::MAX,
        }
    }

    /// Rejects a body that contains the bytes of `forbidden`.
    pub fn with_forbidden(mut self, forbidden: ForbiddenBytes) -> Self {
        self.forbidden = Some(forbidden);
        self
    }

    /// Rejects a chunked body of more than `max` bytes in total.
    pub fn with_max_chunked_bytes(mut self, max: u64) -> Self {
        self.chunk_bytes_left = max;
        self
    }

    /// Puts decoded bytes back, so that they are yielded next.
    pub fn unread(&mut self, bytes: Bytes) {
        self.put_back = bytes;
    }

    /// Returns whether the whole body has been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Handles the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::UnexpectedEof`] if the body is incomplete.
    pub fn close(&mut self) -> Result<(), HttpError> {
        match self.state {
            State::UntilClose | State::Done => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(HttpError::UnexpectedEof),
        }
    }

    fn split_part(src: &mut BytesMut, left: u64) -> Bytes {
        let n = usize::try_from(left).unwrap_or(usize::MAX).min(src.len());
        src.split_to(n).freeze()
    }

    /// Consumes a chunk-size line; `None` if it is still incomplete.
    fn decode_chunk_size(src: &mut BytesMut) -> Result<Option<u64>, HttpError> {
        let window = &src[..src.len().min(MAX_SIZE_DIGITS + 2)];
        let Some(end) = window.iter().position(|b| *b == b'\r') else {
            if src.len() > MAX_SIZE_DIGITS {
                return Err(HttpError::Malformed("chunk size"));
            }
            return Ok(None);
        };
        if src.len() < end + 2 {
            return Ok(None);
        }
        let digits =
            std::str::from_utf8(&src[..end]).map_err(|_| HttpError::Malformed("chunk size"))?;
        let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex || src[end + 1] != b'\n' {
            return Err(HttpError::Malformed("chunk size"));
        }
        let n = u64::from_str_radix(digits, 16).map_err(|_| HttpError::Malformed("chunk size"))?;
        src.advance(end + 2);
        Ok(Some(n))
    }

    /// Consumes the line end after a chunk; false if it is still incomplete.
    fn decode_line_end(src: &mut BytesMut) -> Result<bool, HttpError> {
        if src.len() < 2 {
            return Ok(false);
        }
        if &src[..2] != b"\r\n" {
            return Err(HttpError::Malformed("chunk end or trailer"));
        }
        src.advance(2);
        Ok(true)
    }
}

impl Decoder for BodyDecoder {
    /// A part of the body, or `None` after the last one.
    type Item = Option<Bytes>;
    type Error = HttpError;

    fn decode(&mut self, src: &mut BytesMut) -> Result<Decoded<Self::Item>, Self::Error> {
        if !self.put_back.is_empty() {
            return Ok(Decoded::Some(Some(std::mem::take(&mut self.put_back))));
        }
        loop {
            let decoded = self.decode_framing(src)?;
            let (Decoded::Some(part), Some(forbidden)) = (&decoded, &mut self.forbidden) else {
                return Ok(decoded);
            };
            let allowed = match part {
                Some(part) => forbidden.scan(part.clone())?,
                None => forbidden.finish(),
            };
            if !allowed.is_empty() {
                return Ok(Decoded::Some(Some(allowed)));
            }
            if part.is_none() {
                return Ok(decoded);
            }
        }
    }
}

impl BodyDecoder {
    fn decode_framing(&mut self, src: &mut BytesMut) -> Result<Decoded<Option<Bytes>>, HttpError> {
        loop {
            match self.state {
                State::Done => return Ok(Decoded::Some(None)),
                State::UntilClose | State::Fixed(_) | State::ChunkData(_) if src.is_empty() => {
                    return Ok(Decoded::Insufficient);
                }
                State::UntilClose => return Ok(Decoded::Some(Some(src.split().freeze()))),
                State::Fixed(left) => {
                    let part = Self::split_part(src, left);
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::Done
                    } else {
                        State::Fixed(left)
                    };
                    return Ok(Decoded::Some(Some(part)));
                }
                State::ChunkData(left) => {
                    let part = Self::split_part(src, left);
                    let left = left - part.len() as u64;
                    self.state = if left == 0 {
                        State::ChunkLineEnd
                    } else {
                        State::ChunkData(left)
                    };
                    return Ok(Decoded::Some(Some(part)));
                }
                State::ChunkSize => match Self::decode_chunk_size(src)? {
                    None => return Ok(Decoded::Insufficient),
                    Some(0) => self.state = State::LastLineEnd,
                    Some(n) => {
                        let left = self.chunk_bytes_left.checked_sub(n);
                        self.chunk_bytes_left = left.ok_or(HttpError::BodyTooLarge)?;
                        self.state = State::ChunkData(n);
                    }
                },
                State::ChunkLineEnd => {
                    if !Self::decode_line_end(src)? {
                        return Ok(Decoded::Insufficient);
                    }
                    self.state = State::ChunkSize;
                }
                State::LastLineEnd => {
                    if !Self::decode_line_end(src)? {
                        return Ok(Decoded::Insufficient);
                    }
                    self.state = State::Done;
                }
            }
        }
    }
}
