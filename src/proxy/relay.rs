//! Relaying of responses from targets to callers.

use std::time::Duration;

use bytes::BytesMut;
use http::{header, response, HeaderValue, Method, Version};
use monoio::time::timeout;

use crate::{
    http::{encode_response_head, BodyKind, Framing, HttpError, HttpWriter},
    metrics::Counter,
    pool::TargetConnection,
};

use super::{
    deadline::Deadline,
    dispatch::{StartedResponse, TargetResponse},
    exchange::ResponseBody,
    ProxyContext,
};

/// Time beyond the deadline for the rest of a response that began before it. It stays below the
/// time after which the operator's rules count a request as held.
const RELAY_GRACE: Duration = Duration::from_millis(100);

/// Properties of the request that determine the form of the response.
pub(super) struct ResponseParams<'a> {
    /// Method of the request.
    pub(super) method: &'a Method,
    /// Version of the request.
    pub(super) version: Version,
    /// Whether the caller's connection stays open after the response.
    pub(super) keep_alive: bool,
    /// Id of the request.
    pub(super) request_id: &'a str,
    /// Whether the target is known to have received the complete request, so that its connection
    /// can be reused.
    pub(super) target_reusable: bool,
    /// Deadline of the request.
    pub(super) deadline: Deadline,
}

/// Result of relaying a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayResult {
    /// The response is complete, and the caller's connection may stay open.
    KeepAlive,
    /// The response is complete, and the caller's connection must be closed.
    Close,
    /// The response was truncated; the caller's connection must be reset.
    Truncated,
}

/// Relays a target's response to the caller.
pub(super) async fn relay_response(
    cx: &ProxyContext,
    response: TargetResponse,
    params: &ResponseParams<'_>,
    writer: &mut HttpWriter,
) -> RelayResult {
    let TargetResponse {
        started:
            StartedResponse {
                mut head,
                kind,
                body,
            },
        conn,
        picked,
    } = response;
    let leaving = cx.heads.target_report(head.status, &head.headers).leaving;
    let is_whole = params.target_reusable && kind != BodyKind::UntilClose;
    let reusable = is_whole && !leaving && allows_reuse(&head);
    let framing = caller_framing(kind, params, &head);
    let keep_alive = params.keep_alive && !(framing == Framing::None && kind != BodyKind::Empty);
    cx.heads.prepare_for_caller(&mut head, params.request_id);
    if !keep_alive {
        head.headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let mut buf = BytesMut::new();
    encode_response_head(&head, framing, &mut buf);
    let mut relay = Relay {
        cx,
        conn,
        writer,
        framing,
        deadline: params.deadline,
    };
    let res = monoio::select! {
        res = relay.run(buf, body) => res,
        () = cx.grace.wait() => Err(HttpError::Timeout),
    };
    let conn = relay.conn;
    drop(picked);
    if res.is_err() {
        cx.metrics.count(Counter::AnswersCutOff);
        return RelayResult::Truncated;
    }
    cx.metrics.count(Counter::Answers);
    if reusable {
        cx.pool.put(conn);
    }
    if keep_alive {
        RelayResult::KeepAlive
    } else {
        RelayResult::Close
    }
}

/// The relay of one body.
struct Relay<'a> {
    cx: &'a ProxyContext,
    conn: TargetConnection,
    writer: &'a mut HttpWriter,
    framing: Framing,
    deadline: Deadline,
}

impl Relay<'_> {
    /// Relays the head in `buf` and the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the target or the caller fails, stalls, or goes on past the deadline.
    async fn run(&mut self, mut buf: BytesMut, body: ResponseBody) -> Result<(), HttpError> {
        let (mut decoder, mut part) = (body.decoder, body.first);
        if let (Some(first), Framing::Length(_)) = (&part, self.framing) {
            buf.extend_from_slice(first);
            part = None;
        }
        let framing = self.framing;
        let limit = self.time_left()?;
        within(limit, self.writer.write(buf.freeze())).await?;
        loop {
            let limit = self.time_left()?;
            if let Some(part) = part.take() {
                within(limit, self.writer.write_part(framing, part)).await?;
                continue;
            }
            part = within(limit, self.conn.reader.next_part(&mut decoder)).await?;
            if part.is_none() {
                return within(self.time_left()?, self.writer.finish_body(framing)).await;
            }
        }
    }

    /// Returns the longest time of the next step.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Timeout`] if the deadline and [`RELAY_GRACE`] have passed.
    fn time_left(&self) -> Result<Duration, HttpError> {
        let end = self.deadline.at() + RELAY_GRACE;
        let left = end.since(self.cx.clock.now());
        if left.is_zero() {
            return Err(HttpError::Timeout);
        }
        Ok(left.min(self.cx.limits.body_part_timeout))
    }
}

async fn within<T>(
    limit: Duration,
    work: impl std::future::Future<Output = Result<T, HttpError>>,
) -> Result<T, HttpError> {
    timeout(limit, work)
        .await
        .unwrap_or(Err(HttpError::Timeout))
}

fn allows_reuse(head: &response::Parts) -> bool {
    let close = head.headers.get_all(header::CONNECTION).iter().any(|v| {
        v.as_bytes()
            .to_ascii_lowercase()
            .windows(5)
            .any(|w| w == b"close")
    });
    head.version == Version::HTTP_11 && !close
}

fn caller_framing(kind: BodyKind, params: &ResponseParams<'_>, head: &response::Parts) -> Framing {
    match kind {
        BodyKind::Empty => empty_body_framing(params.method, head),
        BodyKind::Fixed(n) => Framing::Length(n),
        BodyKind::Chunked | BodyKind::UntilClose if params.version == Version::HTTP_11 => {
            Framing::Chunked
        }
        BodyKind::Chunked | BodyKind::UntilClose => Framing::None,
    }
}

/// Returns the framing of a response without a body; a response to HEAD keeps the content length
/// that a GET would return.
fn empty_body_framing(method: &Method, head: &response::Parts) -> Framing {
    let status = head.status;
    if *method == Method::HEAD || status == http::StatusCode::NOT_MODIFIED {
        let length = head.headers.get(header::CONTENT_LENGTH);
        let length = length
            .and_then(|v| v.to_str().ok())
            .and_then(|v| v.parse().ok());
        return length.map_or(Framing::None, Framing::Length);
    }
    if status == http::StatusCode::NO_CONTENT {
        return Framing::None;
    }
    Framing::Length(0)
}
