//! The body of a request on its way to a target.

use bytes::{Bytes, BytesMut};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{BodyDecoder, BodyKind, ForbiddenBytes, Framing, HttpError, HttpReader},
    lifecycle::{BoundedCounter, BoundedCounterGuard},
    outcome::ErrorKind,
};

/// The body of a request on its way to a target.
pub(super) enum RequestBody {
    /// The whole body is at hand, and can be sent again.
    Whole(Bytes),
    /// The body is read from the caller while it is sent.
    Streamed(BodyDecoder, Framing),
}

/// A body with its share of the buffered bytes.
pub(super) struct ReceivedBody {
    /// The body.
    pub(super) body: RequestBody,
    /// Holds the share until the request has ended.
    pub(super) _buffered: Option<BoundedCounterGuard>,
}

/// Receives the body of a request.
pub(super) struct BodyReceiver<'a> {
    /// How the body is framed.
    pub(super) kind: BodyKind,
    /// Key of the caller, which the body must not contain.
    pub(super) key: &'a [u8],
    /// Most bytes of the body.
    pub(super) max_bytes: u64,
    /// Bounds of this daemon.
    pub(super) limits: &'a LimitSettings,
    /// Bytes of bodies that are buffered.
    pub(super) buffered: &'a BoundedCounter,
}

impl BodyReceiver<'_> {
    /// Reads a body that fits into the buffer whole; leaves a larger one to be streamed.
    ///
    /// # Errors
    ///
    /// Returns the kind of refusal when the body is malformed, cut off, too slow, contains the
    /// key, or finds no room in the buffer.
    pub(super) async fn receive(&self, reader: &mut HttpReader) -> Result<ReceivedBody, ErrorKind> {
        let max = self.limits.buffered_body_bytes;
        let (framing, buffered) = match self.kind {
            BodyKind::Empty => return Ok(unbuffered(RequestBody::Whole(Bytes::new()))),
            BodyKind::Fixed(n) if n > max as u64 => {
                let body = RequestBody::Streamed(self.decoder(), Framing::Length(n));
                return Ok(unbuffered(body));
            }
            BodyKind::Fixed(n) => (Framing::Length(n), n as usize),
            BodyKind::Chunked | BodyKind::UntilClose => (Framing::Chunked, max),
        };
        let guard = self.buffered.try_acquire_many(buffered);
        let guard = guard.ok_or(ErrorKind::BufferFull)?;
        let read = self.read(reader, framing);
        let body = match timeout(self.limits.body_part_timeout, read).await {
            Ok(body) => body?,
            Err(_) => return Err(ErrorKind::BodyIncomplete),
        };
        Ok(ReceivedBody {
            body,
            _buffered: Some(guard),
        })
    }

    async fn read(
        &self,
        reader: &mut HttpReader,
        framing: Framing,
    ) -> Result<RequestBody, ErrorKind> {
        let mut decoder = self.decoder();
        let mut whole = BytesMut::new();
        while let Some(part) = reader.next_part(&mut decoder).await.map_err(refusal)? {
            whole.extend_from_slice(&part);
            if whole.len() > self.limits.buffered_body_bytes {
                decoder.unread(whole.freeze());
                return Ok(RequestBody::Streamed(decoder, framing));
            }
        }
        Ok(RequestBody::Whole(whole.freeze()))
    }

    fn decoder(&self) -> BodyDecoder {
        let decoder = BodyDecoder::new(self.kind).with_max_chunked_bytes(self.max_bytes);
        decoder.with_forbidden(ForbiddenBytes::new(self.key))
    }
}

fn unbuffered(body: RequestBody) -> ReceivedBody {
    ReceivedBody {
        body,
        _buffered: None,
    }
}

fn refusal(e: HttpError) -> ErrorKind {
    match e {
        HttpError::Malformed(_) => ErrorKind::BadRequest,
        HttpError::BodyTooLarge => ErrorKind::BodyTooLarge,
        HttpError::Forbidden => ErrorKind::KeyExposed,
        _ => ErrorKind::BodyIncomplete,
    }
}

impl RequestBody {
    /// Returns the whole body; none when it is streamed.
    pub(super) fn whole(&self) -> Option<&[u8]> {
        match self {
            Self::Whole(body) => Some(body),
            Self::Streamed(..) => None,
        }
    }

    /// Returns how the body is framed towards the target.
    pub(super) fn framing(&self) -> Framing {
        match self {
            Self::Whole(body) if body.is_empty() => Framing::None,
            Self::Whole(body) => Framing::Length(body.len() as u64),
            Self::Streamed(_, framing) => *framing,
        }
    }

    /// Tells whether the body can be sent again.
    pub(super) fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Tells whether the body was read from the caller to its end.
    pub(super) fn is_received(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed(decoder, _) => decoder.is_done(),
        }
    }
}
