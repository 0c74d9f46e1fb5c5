//! Passing a target's answer on to the caller.

use bytes::BytesMut;
use http::{header, response, HeaderValue, Method, Version};
use monoio::time::timeout;

use crate::{
    config::LimitSettings,
    http::{encode_response_head, response_body_kind, BodyDecoder, BodyKind, Framing, HttpWriter},
    metrics::Counter,
    pool::TargetConnection,
};

use super::{dispatch::TargetAnswer, ProxyContext};

/// What the caller's request asks of its answer.
pub(super) struct AnswerForm<'a> {
    /// Method of the request.
    pub(super) method: &'a Method,
    /// Version of the request.
    pub(super) version: Version,
    /// Whether the connection stays open behind the answer.
    pub(super) keep_alive: bool,
    /// Identity of the request.
    pub(super) request_id: &'a str,
    /// Whether the target surely has the whole request, so that its connection can carry another.
    pub(super) target_reusable: bool,
}

/// How an answer was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Relayed {
    /// The answer is whole, and the connection may stay open.
    KeepAlive,
    /// The answer is whole, and the connection must close.
    Close,
    /// The answer was cut off; the connection must close at once.
    CutOff,
    /// The answer cannot be framed; nothing was sent to the caller.
    Malformed,
}

/// Passes a target's answer on to the caller.
pub(super) async fn relay_answer(
    cx: &ProxyContext,
    answer: TargetAnswer,
    form: &AnswerForm<'_>,
    writer: &mut HttpWriter,
) -> Relayed {
    let TargetAnswer {
        mut head,
        mut conn,
        picked,
    } = answer;
    let Ok(kind) = response_body_kind(form.method, &head) else {
        return Relayed::Malformed;
    };
    let reusable = form.target_reusable && kind != BodyKind::UntilClose && allows_reuse(&head);
    let framing = caller_framing(kind, form, &head);
    let keep_alive = form.keep_alive && !(framing == Framing::None && kind != BodyKind::Empty);
    cx.heads.prepare_for_caller(&mut head, form.request_id);
    if !keep_alive {
        head.headers
            .insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    let mut buf = BytesMut::new();
    encode_response_head(&head, framing, &mut buf);
    let relayed = relay_body(&cx.limits, &mut conn, kind, framing, buf, writer).await;
    drop(picked);
    if relayed.is_err() {
        cx.metrics.count(Counter::AnswersCutOff);
        return Relayed::CutOff;
    }
    cx.metrics.count(Counter::Answers);
    if reusable {
        cx.pool.put(conn);
    }
    if keep_alive {
        Relayed::KeepAlive
    } else {
        Relayed::Close
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
                send(limits, writer.write(pending.split().freeze())).await?;
                continue;
            }
            send(limits, writer.write(pending.split().freeze())).await?;
        }
        match part? {
            Some(part) => send(limits, writer.write_part(framing, part)).await?,
            None => return send(limits, writer.finish_body(framing)).await,
        }
    }
}

async fn send(
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

fn caller_framing(kind: BodyKind, form: &AnswerForm<'_>, head: &response::Parts) -> Framing {
    match kind {
        BodyKind::Empty => bodiless_framing(form.method, head),
        BodyKind::Fixed(n) => Framing::Length(n),
        BodyKind::Chunked | BodyKind::UntilClose if form.version == Version::HTTP_11 => {
            Framing::Chunked
        }
        BodyKind::Chunked | BodyKind::UntilClose => Framing::None,
    }
}

/// Returns the framing headers of an answer without a body; HEAD keeps the length of the body
/// that a GET would bring.
fn bodiless_framing(method: &Method, head: &response::Parts) -> Framing {
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
