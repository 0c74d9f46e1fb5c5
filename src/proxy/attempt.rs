//! The exchange of one attempt with a target.

use std::time::Duration;

use bytes::BytesMut;
use http::{request, response, StatusCode};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{encode_request_head, HeadLimits, HttpError, HttpReader},
    pool::TargetConnection,
    retry::{AttemptFailure, Event},
};

use super::request_body::RequestBody;

/// Most bytes of pipelined requests that are read while an answer is awaited.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// What one attempt works on.
pub(super) struct Attempt<'a> {
    /// Connection to the target.
    pub(super) conn: &'a mut TargetConnection,
    /// The caller, whose body may still arrive and who may go away.
    pub(super) caller: &'a mut HttpReader,
    /// Head for the target.
    pub(super) head: &'a request::Parts,
    /// Body for the target.
    pub(super) body: &'a mut RequestBody,
    /// Bounds of this daemon.
    pub(super) limits: &'a LimitSettings,
    /// Longest time until the head of the answer.
    pub(super) time_left: Duration,
}

impl Attempt<'_> {
    /// Sends the request; returns the head of an answer that came before the end of the body.
    ///
    /// # Errors
    ///
    /// Returns what ended the attempt.
    pub(super) async fn send(mut self) -> Result<Option<response::Parts>, Event> {
        match timeout(self.time_left, self.send_all()).await {
            Ok(res) => res,
            Err(_) => Err(Event::DeadlinePassed),
        }
    }

    /// Waits for the head of the answer, for the caller going away, and for `silence`.
    ///
    /// # Errors
    ///
    /// Returns what came instead; after [`Event::SilenceTimeout`] the answer may be awaited again.
    pub(super) async fn await_head(
        self,
        silence: Option<Duration>,
    ) -> Result<response::Parts, Event> {
        let limits = self.answer_limits();
        let (limit, event) = match silence {
            Some(silence) if silence < self.time_left => (silence, Event::SilenceTimeout),
            _ => (self.time_left, Event::DeadlinePassed),
        };
        let answer = read_final_head(&mut self.conn.reader, &limits);
        monoio::select! {
            answer = answer => answer,
            () = caller_gone(self.caller) => Err(Event::CallerDisconnected),
            () = monoio::time::sleep(limit) => Err(event),
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
        let mut buf = BytesMut::new();
        encode_request_head(self.head, self.body.framing(), &mut buf);
        if let RequestBody::Whole(body) = &self.body {
            buf.extend_from_slice(body);
        }
        let sent = self.conn.writer.write(buf.freeze()).await;
        sent.map_err(|_| Event::Failed(AttemptFailure::Lost))
    }

    async fn stream_body(&mut self) -> Result<Option<response::Parts>, Event> {
        let limits = self.answer_limits();
        let RequestBody::Streamed(decoder, framing) = &mut *self.body else {
            return Ok(None);
        };
        let (reader, writer) = (&mut self.conn.reader, &mut self.conn.writer);
        let caller = &mut *self.caller;
        let part_timeout = self.limits.body_part_timeout;
        let upload = async {
            loop {
                let part = match timeout(part_timeout, caller.next_part(decoder)).await {
                    Ok(Ok(part)) => part,
                    _ => return Err(Event::CallerDisconnected),
                };
                let lost = |_| Event::Failed(AttemptFailure::Lost);
                match part {
                    Some(part) => writer.write_part(*framing, part).await.map_err(lost)?,
                    None => return writer.finish_body(*framing).await.map_err(lost),
                }
            }
        };
        monoio::select! {
            sent = upload => sent.map(|()| None),
            answer = read_final_head(reader, &limits) => answer.map(Some),
        }
    }

    fn answer_limits(&self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.limits.head_bytes,
            timeout: self.time_left,
        }
    }
}

/// Waits until the caller closes its connection.
async fn caller_gone(caller: &mut HttpReader) {
    while caller.buffered_len() < MAX_PIPELINED_BYTES {
        match caller.fill().await {
            Ok(n) if n > 0 => {}
            _ => return,
        }
    }
    std::future::pending::<()>().await;
}

/// Reads heads up to the first that is not informational.
async fn read_final_head(
    reader: &mut HttpReader,
    limits: &HeadLimits,
) -> Result<response::Parts, Event> {
    loop {
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
}
