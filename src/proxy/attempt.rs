//! One attempt to run a request at a target.

use std::time::Duration;

use bytes::BytesMut;
use http::{request, response, StatusCode};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{encode_request_head, HeadLimits, HttpError, HttpReader},
    pool::TargetConnection,
    retry::{AttemptEnd, AttemptFailure},
};

use super::request_body::RequestBody;

/// Most bytes of pipelined requests that are read while an answer is awaited.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Why an attempt brought no answer.
pub(super) enum AttemptError {
    /// The target failed.
    Target(AttemptEnd),
    /// The caller went away, or broke off its body.
    CallerGone,
}

/// One attempt to run a request at a target.
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
    /// Sends the request and reads the head of the answer.
    pub(super) async fn run(mut self) -> Result<response::Parts, AttemptError> {
        match timeout(self.time_left, self.exchange()).await {
            Ok(res) => res,
            Err(_) => Err(target_failure(AttemptFailure::Timeout)),
        }
    }

    async fn exchange(&mut self) -> Result<response::Parts, AttemptError> {
        self.send_head().await?;
        let limits = self.answer_limits();
        if let RequestBody::Streamed(..) = self.body {
            if let Some(early) = self.stream_body(&limits).await? {
                return Ok(early);
            }
        }
        self.await_answer(&limits).await
    }

    async fn send_head(&mut self) -> Result<(), AttemptError> {
        let mut buf = BytesMut::new();
        encode_request_head(self.head, self.body.framing(), &mut buf);
        if let RequestBody::Whole(body) = &self.body {
            buf.extend_from_slice(body);
        }
        let sent = self.conn.writer.write(buf.freeze()).await;
        sent.map_err(|_| target_failure(AttemptFailure::Lost))
    }

    /// Sends the body; returns the head of an answer that came before its end.
    async fn stream_body(
        &mut self,
        limits: &HeadLimits,
    ) -> Result<Option<response::Parts>, AttemptError> {
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
                    _ => return Err(AttemptError::CallerGone),
                };
                let lost = |_| target_failure(AttemptFailure::Lost);
                match part {
                    Some(part) => writer.write_part(*framing, part).await.map_err(lost)?,
                    None => return writer.finish(*framing).await.map_err(lost),
                }
            }
        };
        monoio::select! {
            sent = upload => sent.map(|()| None),
            answer = read_final_head(reader, limits) => answer.map(Some),
        }
    }

    /// Waits for the answer, and for the caller going away.
    async fn await_answer(&mut self, limits: &HeadLimits) -> Result<response::Parts, AttemptError> {
        let answer = read_final_head(&mut self.conn.reader, limits);
        monoio::select! {
            answer = answer => answer,
            () = caller_gone(self.caller) => Err(AttemptError::CallerGone),
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
) -> Result<response::Parts, AttemptError> {
    loop {
        let head = reader.read_response_head(limits).await;
        match head {
            Ok(head) if head.status == StatusCode::SWITCHING_PROTOCOLS => {
                return Err(target_failure(AttemptFailure::Malformed))
            }
            Ok(head) if head.status.is_informational() => {}
            Ok(head) => return Ok(head),
            Err(HttpError::Malformed(_) | HttpError::HeadTooLarge | HttpError::Forbidden) => {
                return Err(target_failure(AttemptFailure::Malformed))
            }
            Err(HttpError::Timeout) => return Err(target_failure(AttemptFailure::Timeout)),
            Err(HttpError::Io(_) | HttpError::UnexpectedEof) => {
                return Err(target_failure(AttemptFailure::Lost))
            }
        }
    }
}

fn target_failure(failure: AttemptFailure) -> AttemptError {
    AttemptError::Target(AttemptEnd {
        failure,
        written: true,
    })
}
