//! Exchange of a request and its response head with a target.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{request, response, StatusCode};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{encode_request_head, BodyDecoder, BodyKind, HeadLimits, HttpError, HttpReader},
    pool::TargetConnection,
    retry::{AttemptFailure, Event, UploadError},
};

use super::request_body::RequestBody;

/// Maximum number of bytes of pipelined requests that are read while waiting for a response.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Largest body of a response that is received whole before its head is relayed, in bytes.
const MAX_WHOLE_BODY_BYTES: u64 = 16 * 1024;

/// Maximum number of informational responses before a response.
const MAX_INTERIM_HEADS: usize = 16;

/// The body of a response, whose beginning has been received.
pub(super) struct ResponseBody {
    /// Decodes the rest of the body.
    pub(super) decoder: BodyDecoder,
    /// The first part of the body; all of it if it is short and of known length.
    pub(super) first: Option<Bytes>,
}

/// The exchange with the target of one attempt: sends the request and awaits the response head.
pub(super) struct Exchange<'a> {
    /// Connection to the target.
    pub(super) conn: &'a mut TargetConnection,
    /// Reader of the caller's connection, for the rest of the body and to detect a disconnect.
    pub(super) caller: &'a mut HttpReader,
    /// Request head sent to the target.
    pub(super) head: &'a request::Parts,
    /// Request body sent to the target.
    pub(super) body: &'a mut RequestBody,
    /// Limits of this daemon.
    pub(super) limits: &'a LimitSettings,
    /// Time left to receive the response head.
    pub(super) time_left: Duration,
}

impl Exchange<'_> {
    /// Sends the request; returns the response head if it arrives before the body is sent.
    ///
    /// # Errors
    ///
    /// Returns the event that ended the attempt.
    pub(super) async fn send(mut self) -> Result<Option<response::Parts>, Event> {
        match timeout(self.time_left, self.send_all()).await {
            Ok(res) => res,
            Err(_) => Err(Event::DeadlinePassed),
        }
    }

    /// Waits for the response head, a disconnect of the caller, or `silence_timeout`.
    ///
    /// # Errors
    ///
    /// Returns the event that occurred instead; after [`Event::SilenceTimeout`] the response may be
    /// awaited again.
    pub(super) async fn await_head(
        self,
        silence_timeout: Option<Duration>,
    ) -> Result<response::Parts, Event> {
        let limits = self.response_head_limits();
        let (limit, event) = match silence_timeout {
            Some(silence) if silence < self.time_left => (silence, Event::SilenceTimeout),
            _ => (self.time_left, Event::DeadlinePassed),
        };
        let head = read_final_head(&mut self.conn.reader, &limits);
        monoio::select! {
            head = head => head,
            () = caller_disconnected(self.caller) => Err(Event::CallerDisconnected),
            () = monoio::time::sleep(limit) => Err(event),
        }
    }

    /// Receives the beginning of a body of `kind`, so that a response that breaks off there can
    /// still become an error or a retry.
    ///
    /// # Errors
    ///
    /// Returns the event that occurred instead.
    pub(super) async fn receive_beginning(self, kind: BodyKind) -> Result<ResponseBody, Event> {
        let reader = &mut self.conn.reader;
        monoio::select! {
            body = read_beginning(reader, kind) => body,
            () = caller_disconnected(self.caller) => Err(Event::CallerDisconnected),
            () = monoio::time::sleep(self.time_left) => Err(Event::DeadlinePassed),
        }
    }

    async fn send_all(&mut self) -> Result<Option<response::Parts>, Event> {
        self.send_head().await?;
        if let RequestBody::Streamed(..) = self.body {
            return self.stream_body().await;
        }
        Ok(None)
    }

    async fn send_head(&mut self) -> Result<(), Event> {
        let res = self.conn.writer.write(encode(self.head, self.body)).await;
        res.map_err(|_| Event::Failed(AttemptFailure::Lost))
    }

    async fn stream_body(&mut self) -> Result<Option<response::Parts>, Event> {
        let limits = self.response_head_limits();
        let RequestBody::Streamed(decoder, framing) = &mut *self.body else {
            return Ok(None);
        };
        let (reader, writer) = (&mut self.conn.reader, &mut self.conn.writer);
        let caller = &mut *self.caller;
        let part_timeout = self.limits.body_part_timeout;
        let upload = async {
            loop {
                let next = timeout(part_timeout, caller.next_part(decoder)).await;
                let part = next.unwrap_or(Err(HttpError::Timeout));
                let part = part.map_err(|e| upload_event(&e))?;
                let lost = |_| Event::Failed(AttemptFailure::Lost);
                match part {
                    Some(part) => writer.write_part(*framing, part).await.map_err(lost)?,
                    None => return writer.finish_body(*framing).await.map_err(lost),
                }
            }
        };
        monoio::select! {
            res = upload => res.map(|()| None),
            head = read_final_head(reader, &limits) => head.map(Some),
        }
    }

    pub(super) fn response_head_limits(&self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.limits.head_bytes,
            timeout: self.time_left,
        }
    }
}

/// Encodes a request head, and the body if it is buffered.
pub(super) fn encode(head: &request::Parts, body: &RequestBody) -> Bytes {
    let mut buf = BytesMut::new();
    encode_request_head(head, body.framing(), &mut buf);
    if let RequestBody::Whole(body) = body {
        buf.extend_from_slice(body);
    }
    buf.freeze()
}

/// Waits until the caller closes its connection.
pub(super) async fn caller_disconnected(caller: &mut HttpReader) {
    while caller.buffered_len() < MAX_PIPELINED_BYTES {
        match caller.fill().await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Reads a short body of known length, or the first part of another one.
async fn read_beginning(reader: &mut HttpReader, kind: BodyKind) -> Result<ResponseBody, Event> {
    let mut decoder = BodyDecoder::new(kind);
    let is_short = matches!(kind, BodyKind::Fixed(n) if n <= MAX_WHOLE_BODY_BYTES);
    let mut first = BytesMut::new();
    while let Some(part) = reader.next_part(&mut decoder).await.map_err(body_event)? {
        if !is_short {
            return Ok(ResponseBody {
                decoder,
                first: Some(part),
            });
        }
        first.extend_from_slice(&part);
    }
    let first = Some(first.freeze()).filter(|first| !first.is_empty());
    Ok(ResponseBody { decoder, first })
}

/// Returns the event of an upload that ended with `e`.
fn upload_event(e: &HttpError) -> Event {
    let reason = match e {
        HttpError::Io(_) | HttpError::UnexpectedEof => return Event::CallerDisconnected,
        HttpError::Malformed(_) | HttpError::HeadTooLarge => UploadError::Malformed,
        HttpError::BodyTooLarge => UploadError::TooLarge,
        HttpError::Forbidden => UploadError::KeyExposed,
        HttpError::Timeout => UploadError::Stalled,
    };
    Event::UploadRefused(reason)
}

fn body_event(e: HttpError) -> Event {
    Event::Failed(match e {
        HttpError::Io(_) | HttpError::UnexpectedEof | HttpError::Timeout => AttemptFailure::Lost,
        _ => AttemptFailure::Malformed,
    })
}

/// Reads response heads up to the first one that is not informational, at most
/// [`MAX_INTERIM_HEADS`] before it.
pub(super) async fn read_final_head(
    reader: &mut HttpReader,
    limits: &HeadLimits,
) -> Result<response::Parts, Event> {
    for _ in 0..=MAX_INTERIM_HEADS {
        let head = reader.read_response_head(limits).await;
        match head {
            Ok(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(Event::Failed(AttemptFailure::Malformed))
            }
            Ok(head) if head.status.is_informational() => {}
            Ok(head) => return Ok(head),
            Err(
                HttpError::Malformed(_)
                | HttpError::HeadTooLarge
                | HttpError::BodyTooLarge
                | HttpError::Forbidden,
            ) => return Err(Event::Failed(AttemptFailure::Malformed)),
            Err(HttpError::Timeout) => return Err(Event::DeadlinePassed),
            Err(HttpError::Io(_) | HttpError::UnexpectedEof) => {
                return Err(Event::Failed(AttemptFailure::Lost))
            }
        }
    }
    log::warn!(heads = MAX_INTERIM_HEADS + 1; "target sends informational responses without end");
    Err(Event::Failed(AttemptFailure::Malformed))
}
