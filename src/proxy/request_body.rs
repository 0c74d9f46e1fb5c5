//! The body of a request on its way to a target.

use bytes::Bytes;
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{BodyDecoder, BodyKind, Framing, HttpError, HttpReader},
};

/// The body of a request on its way to a target.
pub(super) enum RequestBody {
    /// The whole body is at hand, and can be sent again.
    Whole(Bytes),
    /// The body is read from the caller while it is sent.
    Streamed(BodyDecoder, Framing),
}

impl RequestBody {
    /// Reads a body that fits into the buffer whole; leaves a larger one to be streamed.
    ///
    /// # Errors
    ///
    /// Returns an error when the body is malformed, cut off or too slow.
    pub(super) async fn receive(
        kind: BodyKind,
        reader: &mut HttpReader,
        limits: &LimitSettings,
    ) -> Result<Self, HttpError> {
        match kind {
            BodyKind::Empty => Ok(Self::Whole(Bytes::new())),
            BodyKind::Fixed(n) if n <= limits.buffered_body_bytes as u64 => {
                let read = reader.read_body(BodyDecoder::new(kind), limits.buffered_body_bytes);
                match timeout(limits.body_part_timeout, read).await {
                    Ok(body) => Ok(Self::Whole(body?)),
                    Err(_) => Err(HttpError::Timeout),
                }
            }
            BodyKind::Fixed(n) => Ok(Self::Streamed(BodyDecoder::new(kind), Framing::Length(n))),
            BodyKind::Chunked | BodyKind::UntilClose => {
                Ok(Self::Streamed(BodyDecoder::new(kind), Framing::Chunked))
            }
        }
    }

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
