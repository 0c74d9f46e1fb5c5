//! Caller connections.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{header, request, response, HeaderMap, HeaderValue, Method, Version};
use monoio::{
    io::Splitable,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    claim::FirstRequest,
    clock::BootTime,
    http::{
        encode_response_head, request_body_kind, BodyKind, Framing, HttpError, HttpReader,
        HttpWriter,
    },
    metrics::Counter,
    outcome::ErrorKind,
};

use super::{
    access_log::log_error_response,
    admit::Refusal,
    headers::contains_key,
    idempotency::add_first_request_headers,
    request_handler::{RequestHandler, RequestInfo},
    ProxyContext,
};

/// Maximum time for which received bytes are discarded after the last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of received bytes that are discarded after the last response.
const MAX_LINGER_BYTES: usize = 16 << 20;

/// Refusals in a row to requests that a caller sends without waiting for the responses, after which
/// its connection is closed.
const MAX_PIPELINED_REFUSALS: u32 = 64;

/// Shortest wait of a caller that is refused because this daemon does not serve yet.
const MIN_NOT_READY_WAIT: Duration = Duration::from_millis(200);
/// Longest such wait; the range keeps callers that were refused together from returning together.
const MAX_NOT_READY_WAIT: Duration = Duration::from_millis(600);

/// What happens to the connection after a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ConnectionFate {
    /// Waits for the next request.
    KeepAlive,
    /// Closes the connection cleanly after a complete response.
    Close,
    /// Resets the connection, so that a truncated response does not look complete.
    Reset,
}

impl ConnectionFate {
    /// Returns what happens after a complete response.
    pub(super) fn after_complete_response(keep_alive: bool) -> Self {
        if keep_alive {
            Self::KeepAlive
        } else {
            Self::Close
        }
    }
}

/// Properties of a request that determine the form of an error response.
pub(super) struct ErrorParams<'a> {
    /// Id of the request.
    pub(super) request_id: &'a str,
    /// Method of the request; a response to HEAD has no body.
    pub(super) method: &'a Method,
    /// Whether the connection stays open after the response.
    pub(super) keep_alive: bool,
}

/// A connection of a caller.
pub(super) struct CallerConnection {
    /// State shared by all connections.
    pub(super) cx: Rc<ProxyContext>,
    /// Reads requests.
    pub(super) reader: HttpReader,
    /// Writes responses.
    pub(super) writer: HttpWriter,
    /// Refusals in a row behind which the next request had already arrived.
    pipelined_refusals: u32,
    /// Time before which the caller was told not to send again, by its latest refused request.
    retry_not_before: Option<BootTime>,
}

impl CallerConnection {
    /// Wraps an accepted socket.
    pub(super) fn new(cx: Rc<ProxyContext>, stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        Self {
            cx,
            reader: HttpReader::new(r),
            writer: HttpWriter::new(w),
            pipelined_refusals: 0,
            retry_not_before: None,
        }
    }

    /// Serves requests until one side closes the connection.
    pub(super) async fn serve(mut self) {
        while self.wait_for_request().await {
            let refusals = self.pipelined_refusals;
            // Boxed, so that idle connections do not hold memory for the state of a request.
            let fate = Box::pin(self.serve_request()).await;
            if self.pipelined_refusals == refusals {
                self.pipelined_refusals = 0;
            }
            match fate {
                ConnectionFate::KeepAlive => {}
                ConnectionFate::Close => break,
                ConnectionFate::Reset => return self.writer.abort(),
            }
        }
        self.close().await;
    }

    /// Refuses the first request of the connection without reading it.
    pub(super) async fn refuse(mut self, kind: ErrorKind) {
        let id = self.cx.next_request_id();
        self.refuse_unparsed(kind, &id).await;
        self.close().await;
    }

    /// Closes the connection without a reset, which could discard the last response in transit.
    async fn close(&mut self) {
        self.writer.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, self.reader.discard(MAX_LINGER_BYTES)).await;
    }

    /// Waits for the next request; returns false if the connection should be closed.
    ///
    /// During a shutdown it waits for a grace period, since the caller may be sending a request.
    async fn wait_for_request(&mut self) -> bool {
        if self.reader.has_buffered() {
            return true;
        }
        let shutdown = self.cx.shutdown.clone();
        let grace = self.cx.limits.idle_grace;
        let next = timeout(
            self.cx.caller_limits().idle_timeout,
            self.reader.wait_for_message(),
        );
        let grace_expired = async {
            shutdown.wait().await;
            sleep(grace).await;
        };
        let next = monoio::select! {
            next = next => next,
            () = grace_expired => timeout(Duration::ZERO, self.reader.wait_for_message()).await,
        };
        matches!(next, Ok(Ok(true)))
    }

    async fn serve_request(&mut self) -> ConnectionFate {
        let mut id = self.cx.next_request_id();
        let limits = self.cx.caller_limits().head;
        let head = match self.reader.read_request_head(&limits).await {
            Ok(head) => head,
            Err(e) => return self.refuse_bad_head(&e, &id).await,
        };
        self.cx.metrics.count(Counter::Requests);
        match self.caller_id(&head.headers) {
            Ok(caller_id) => id = caller_id.map_or(id, str::to_owned),
            Err(kind) => return self.refuse_unparsed(kind, &id).await,
        }
        let Ok(kind) = request_body_kind(&head) else {
            return self.refuse_unparsed(ErrorKind::BadRequest, &id).await;
        };
        let keep_alive = kind == BodyKind::Empty && wants_keep_alive(&head);
        let params = ErrorParams {
            request_id: &id,
            method: &head.method,
            keep_alive: keep_alive && !self.cx.draining.is_triggered(),
        };
        let Some(_guard) = self.cx.in_flight.try_acquire() else {
            return self
                .respond_error(ErrorKind::TooManyInFlight.into(), &params)
                .await;
        };
        let info = RequestInfo {
            id: &id,
            kind,
            keep_alive: wants_keep_alive(&head),
        };
        RequestHandler { conn: self }.run(head, &info).await
    }

    /// Returns the request id that the caller set, if any.
    ///
    /// # Errors
    ///
    /// Returns the reason for refusing a request whose id must not be logged.
    fn caller_id<'a>(&self, headers: &'a HeaderMap) -> Result<Option<&'a str>, ErrorKind> {
        let cx = &self.cx;
        let Some(id) = cx.heads.request_id(headers) else {
            return Ok(None);
        };
        let key = cx.heads.key(headers).unwrap_or_default();
        if contains_key(id.as_bytes(), key) || cx.policy.is_key(id.as_bytes()) {
            return Err(ErrorKind::KeyExposed);
        }
        Ok(Some(id))
    }

    async fn refuse_bad_head(&mut self, e: &HttpError, id: &str) -> ConnectionFate {
        let kind = match e {
            HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
            HttpError::Timeout => ErrorKind::HeadTimeout,
            HttpError::BodyTooLarge => ErrorKind::BodyTooLarge,
            HttpError::Malformed(_) | HttpError::Forbidden => ErrorKind::BadRequest,
            HttpError::Io(_) | HttpError::UnexpectedEof => return ConnectionFate::Close,
        };
        self.refuse_unparsed(kind, id).await
    }

    /// Refuses a request whose head was not read or is invalid.
    async fn refuse_unparsed(&mut self, kind: ErrorKind, id: &str) -> ConnectionFate {
        let params = ErrorParams {
            request_id: id,
            method: &Method::GET,
            keep_alive: false,
        };
        self.respond_error(kind.into(), &params).await
    }

    /// Returns whether a request that arrived at `now` was sent before the wait that its caller was
    /// told to had passed.
    pub(super) fn resent_early(&self, now: BootTime) -> bool {
        self.retry_not_before.is_some_and(|until| now < until)
    }

    /// Responds with an error.
    pub(super) async fn respond_error(
        &mut self,
        refusal: Refusal,
        params: &ErrorParams<'_>,
    ) -> ConnectionFate {
        let heads = &self.cx.heads;
        let retry_after = refusal.retry_after.or_else(|| retry_after(refusal.kind));
        let (head, body) = heads.error_response(refusal.kind, params.request_id, retry_after);
        let default_s = refusal.kind.response().retry_after_s;
        let default = default_s.map(|s| Duration::from_secs(s.into()));
        let now = self.cx.clock.now();
        self.retry_not_before = retry_after.or(default).map(|wait| now + wait);
        self.send_error_response(refusal.kind, head, &body, params)
            .await
    }

    /// Responds with an error that describes the earlier request with the same idempotency key.
    pub(super) async fn respond_claim_conflict(
        &mut self,
        kind: ErrorKind,
        first: &FirstRequest,
        params: &ErrorParams<'_>,
    ) -> ConnectionFate {
        let (mut head, body) = self.cx.heads.error_response(kind, params.request_id, None);
        add_first_request_headers(&mut head, first);
        self.send_error_response(kind, head, &body, params).await
    }

    async fn send_error_response(
        &mut self,
        kind: ErrorKind,
        mut head: response::Parts,
        body: &Bytes,
        params: &ErrorParams<'_>,
    ) -> ConnectionFate {
        self.cx.metrics.count_refusal(kind);
        log_error_response(params.request_id, kind);
        let keep_alive = params.keep_alive && !self.is_flooding(params.request_id);
        if !keep_alive {
            let close = HeaderValue::from_static("close");
            head.headers.insert(header::CONNECTION, close);
        }
        let mut buf = BytesMut::new();
        encode_response_head(&head, Framing::Length(body.len() as u64), &mut buf);
        if *params.method != Method::HEAD {
            buf.extend_from_slice(body);
        }
        match self.write(buf.freeze()).await {
            Ok(()) => ConnectionFate::after_complete_response(keep_alive),
            Err(_) => ConnectionFate::Reset,
        }
    }

    /// Records a refusal; returns whether the caller sends requests without waiting for the
    /// responses although [`MAX_PIPELINED_REFUSALS`] in a row were refused.
    fn is_flooding(&mut self, request_id: &str) -> bool {
        self.pipelined_refusals += u32::from(self.reader.has_buffered());
        let is_flooding = self.pipelined_refusals >= MAX_PIPELINED_REFUSALS;
        if is_flooding {
            log::warn!(request_id = request_id, refusals = self.pipelined_refusals;
                "closing a connection whose pipelined requests are all refused");
        }
        is_flooding
    }

    /// Writes `buf` within the timeout for body parts.
    pub(super) async fn write(&mut self, buf: Bytes) -> Result<(), HttpError> {
        match timeout(self.cx.limits.body_part_timeout, self.writer.write(buf)).await {
            Ok(res) => res,
            Err(_) => Err(HttpError::Timeout),
        }
    }
}

/// Returns the wait of a caller that is refused, if it differs from that of the error kind.
fn retry_after(kind: ErrorKind) -> Option<Duration> {
    let spread = MAX_NOT_READY_WAIT - MIN_NOT_READY_WAIT;
    let wait = MIN_NOT_READY_WAIT + spread.mul_f64(fastrand::f64());
    (kind == ErrorKind::NotReady).then_some(wait)
}

fn wants_keep_alive(head: &request::Parts) -> bool {
    let has_option = |option: &str| {
        head.headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|v| v.trim().eq_ignore_ascii_case(option))
    };
    head.version == Version::HTTP_11 && !has_option("close")
}
