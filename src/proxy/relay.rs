//! Relaying of responses from targets to callers.

use bytes::BytesMut;
use http::{header, response, HeaderValue, Method, Version};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{encode_response_head, response_body_kind, BodyDecoder, BodyKind, Framing, HttpWriter},
    metrics::Counter,
    pool::TargetConnection,
};

use super::{dispatch::TargetResponse, ProxyContext};

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
    /// The response cannot be framed; nothing was sent to the caller.
    Malformed,
}

/// Relays a target's response to the caller.
pub(super) async fn relay_response(
    cx: &ProxyContext,
    response: TargetResponse,
    params: &ResponseParams<'_>,
    writer: &mut HttpWriter,
) -> RelayResult {
    let TargetResponse {
        mut head,
        mut conn,
        picked,
    } = response;
    let Ok(kind) = response_body_kind(params.method, &head) else {
        return RelayResult::Malformed;
    };
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
    let res = relay_body(&cx.limits, &mut conn, kind, framing, buf, writer).await;
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

async fn relay_body(
    limits: &LimitSettings,
    conn: &mut TargetConnection,
    kind: BodyKind,
    framing: Framing,
    mut pending: BytesMut,
    writer: &mut HttpWriter,
) -> Result<(), ()> {
    let mut decoder = BodyDecoder::new(kind);
    let limit = limits.body_part_timeout;
    let mut first = true;
    loop {
        let part = timeout(limit, conn.reader.next_part(&mut decoder)).await;
        let part = part.map_err(|_| ())?.map_err(|_| ());
        if first {
            first = false;
            if let (Ok(Some(part)), Framing::Length(_)) = (&part, framing) {
                pending.extend_from_slice(part);
                write_with_timeout(limits, writer.write(pending.split().freeze())).await?;
                continue;
            }
            write_with_timeout(limits, writer.write(pending.split().freeze())).await?;
        }
        match part? {
            Some(part) => write_with_timeout(limits, writer.write_part(framing, part)).await?,
            None => return write_with_timeout(limits, writer.finish_body(framing)).await,
        }
    }
}

async fn write_with_timeout(
    limits: &LimitSettings,
    write: impl std::future::Future<Output = Result<(), crate::http::HttpError>>,
) -> Result<(), ()> {
    match timeout(limits.body_part_timeout, write).await {
        Ok(Ok(())) => Ok(()),
        _ => Err(()),
    }
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
