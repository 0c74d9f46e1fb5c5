//! Request bodies.

use bytes::{Bytes, BytesMut};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{BodyDecoder, BodyKind, ForbiddenBytes, Framing, HttpError, HttpReader},
    lifecycle::{BoundedCounter, BoundedCounterGuard},
    outcome::ErrorKind,
};

/// A request body to be sent to a target.
pub(super) enum RequestBody {
    /// The whole body is buffered and can be sent again.
    Whole(Bytes),
    /// The body is read from the caller while it is being sent.
    Streamed(BodyDecoder, Framing),
}

/// A received body and its reservation of buffer space.
pub(super) struct ReceivedBody {
    /// The body.
    pub(super) body: RequestBody,
    /// Reservation of buffer space, held until the request ends.
    pub(super) _reservation: Option<BoundedCounterGuard>,
}

/// Receives a request body.
pub(super) struct BodyReceiver<'a> {
    /// Framing of the body.
    pub(super) kind: BodyKind,
    /// Key of the caller, which must not appear in the body; `None` if the request needs no key.
    pub(super) key: Option<&'a [u8]>,
    /// Maximum size of the body in bytes.
    pub(super) max_bytes: u64,
    /// Limits of this daemon.
    pub(super) limits: &'a LimitSettings,
    /// Counter of buffered body bytes.
    pub(super) buffered: &'a BoundedCounter,
}

impl BodyReceiver<'_> {
    /// Reads a body that fits into the buffer; a larger one is streamed instead.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is malformed, truncated, too slow, contains the key, or does
    /// not fit into the remaining buffer space.
    pub(super) async fn receive(&self, reader: &mut HttpReader) -> Result<ReceivedBody, ErrorKind> {
        let max_buffered = self.limits.buffered_body_bytes;
        let (framing, reserved_bytes) = match self.kind {
            BodyKind::Empty => return Ok(unbuffered(RequestBody::Whole(Bytes::new()))),
            BodyKind::Fixed(n) if n > max_buffered as u64 => {
                let body = RequestBody::Streamed(self.decoder(), Framing::Length(n));
                return Ok(unbuffered(body));
            }
            BodyKind::Fixed(n) => (Framing::Length(n), n as usize),
            BodyKind::Chunked | BodyKind::UntilClose => (Framing::Chunked, max_buffered),
        };
        let guard = self.buffered.try_acquire_many(reserved_bytes);
        let guard = guard.ok_or(ErrorKind::BufferFull)?;
        let read = self.read(reader, framing);
        let body = match timeout(self.limits.body_part_timeout, read).await {
            Ok(body) => body?,
            Err(_) => return Err(ErrorKind::BodyIncomplete),
        };
        Ok(ReceivedBody {
            body,
            _reservation: Some(guard),
        })
    }

    async fn read(
        &self,
        reader: &mut HttpReader,
        framing: Framing,
    ) -> Result<RequestBody, ErrorKind> {
        let mut decoder = self.decoder();
        let mut buffered = BytesMut::new();
        while let Some(part) = reader.next_part(&mut decoder).await.map_err(error_kind)? {
            buffered.extend_from_slice(&part);
            if buffered.len() > self.limits.buffered_body_bytes {
                decoder.unread(buffered.freeze());
                return Ok(RequestBody::Streamed(decoder, framing));
            }
        }
        Ok(RequestBody::Whole(buffered.freeze()))
    }

    fn decoder(&self) -> BodyDecoder {
        let decoder = BodyDecoder::new(self.kind).with_max_chunked_bytes(self.max_bytes);
        match self.key {
            Some(key) => decoder.with_forbidden(ForbiddenBytes::new(key)),
            None => decoder,
        }
    }
}

fn unbuffered(body: RequestBody) -> ReceivedBody {
    ReceivedBody {
        body,
        _reservation: None,
    }
}

fn error_kind(e: HttpError) -> ErrorKind {
    match e {
        HttpError::Malformed(_) => ErrorKind::BadRequest,
        HttpError::BodyTooLarge => ErrorKind::BodyTooLarge,
        HttpError::Forbidden => ErrorKind::KeyExposed,
        _ => ErrorKind::BodyIncomplete,
    }
}

impl RequestBody {
    /// Returns the whole body; `None` if it is streamed.
    pub(super) fn whole(&self) -> Option<&[u8]> {
        match self {
            Self::Whole(body) => Some(body),
            Self::Streamed(..) => None,
        }
    }

    /// Returns the framing of the body sent to the target.
    pub(super) fn framing(&self) -> Framing {
        match self {
            Self::Whole(body) if body.is_empty() => Framing::None,
            Self::Whole(body) => Framing::Length(body.len() as u64),
            Self::Streamed(_, framing) => *framing,
        }
    }

    /// Returns whether the body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns whether the body was read from the caller to its end.
    pub(super) fn is_received(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(decoder, _) => decoder.is_done(),
        }
    }
}
