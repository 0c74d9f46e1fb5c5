//! One connection of a caller.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{header, request, response, HeaderValue, Method, Version};
use monoio::{
    io::Splitable,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    claim::FirstRequest,
    http::{
        encode_response_head, request_body_kind, BodyKind, Framing, HttpError, HttpReader,
        HttpWriter,
    },
    metrics::Counter,
    outcome::ErrorKind,
};

use super::{
    access_log::log_refusal,
    admit::Refusal,
    idempotency::add_first_run,
    serve::{ServedRequest, Serving},
    ProxyContext,
};

/// Longest time for which bytes are discarded behind the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Most bytes that are discarded behind the last answer.
const LINGER_BYTES: usize = 16 << 20;

/// What becomes of the connection behind an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    /// The next request is awaited.
    KeepAlive,
    /// The connection ends cleanly behind a whole answer.
    Close,
    /// The connection is reset, so that a cut-off answer does not look whole.
    Reset,
}

impl After {
    /// Returns what follows a whole answer.
    pub(super) fn whole_answer(keep_alive: bool) -> Self {
        if keep_alive {
            Self::KeepAlive
        } else {
            Self::Close
        }
    }
}

/// What of a request decides the form of a refusal.
pub(super) struct RefusalForm<'a> {
    /// Identity of the request.
    pub(super) request_id: &'a str,
    /// Method of the request; an answer to HEAD has no body.
    pub(super) method: &'a Method,
    /// Whether the connection stays open behind the answer.
    pub(super) keep_alive: bool,
}

/// One connection of a caller.
pub(super) struct CallerConnection {
    /// What all connections share.
    pub(super) cx: Rc<ProxyContext>,
    /// Reads requests.
    pub(super) reader: HttpReader,
    /// Writes answers.
    pub(super) writer: HttpWriter,
}

impl CallerConnection {
    /// Takes over an accepted socket.
    pub(super) fn new(cx: Rc<ProxyContext>, stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let (r, w) = stream.into_split();
        Self {
            cx,
            reader: HttpReader::new(r),
            writer: HttpWriter::new(w),
        }
    }

    /// Serves requests until one side closes.
    pub(super) async fn serve(mut self) {
        while self.wait_for_request().await {
            // Boxed, so that an idle connection does not hold room for a request.
            match Box::pin(self.serve_request()).await {
                After::KeepAlive => {}
                After::Close => break,
                After::Reset => return self.writer.abort(),
            }
        }
        self.end().await;
    }

    /// Refuses the connection's first request without reading it.
    pub(super) async fn refuse(mut self, kind: ErrorKind) {
        let id = self.cx.next_request_id();
        self.refuse_unread(kind, &id).await;
        self.end().await;
    }

    /// Ends the connection without a reset, which could discard the last answer on its way.
    async fn end(&mut self) {
        self.writer.shutdown().await;
        let _ = timeout(LINGER_TIMEOUT, self.reader.discard(LINGER_BYTES)).await;
    }

    /// Waits for the next request; returns false when the connection is to end.
    ///
    /// In a shutdown it still waits for a while, since the caller may be sending a request.
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
        let expired = async {
            shutdown.wait().await;
            sleep(grace).await;
        };
        let next = monoio::select! {
            next = next => next,
            () = expired => timeout(Duration::ZERO, self.reader.wait_for_message()).await,
        };
        matches!(next, Ok(Ok(true)))
    }

    async fn serve_request(&mut self) -> After {
        let mut id = self.cx.next_request_id();
        let limits = self.cx.caller_limits().head;
        let head = match self.reader.read_request_head(&limits).await {
            Ok(head) => head,
            Err(e) => return self.refuse_head(&e, &id).await,
        };
        self.cx.metrics.count(Counter::Requests);
        if let Some(named) = self.cx.heads.request_id(&head.headers) {
            id = named.to_owned();
        }
        let Ok(kind) = request_body_kind(&head) else {
            return self.refuse_unread(ErrorKind::BadRequest, &id).await;
        };
        let keep_alive = kind == BodyKind::Empty && wants_keep_alive(&head);
        let form = RefusalForm {
            request_id: &id,
            method: &head.method,
            keep_alive: keep_alive && !self.cx.draining.is_triggered(),
        };
        let Some(_guard) = self.cx.in_flight.try_acquire() else {
            return self.tell(ErrorKind::TooManyInFlight.into(), &form).await;
        };
        let served = ServedRequest {
            id: &id,
            kind,
            keep_alive: wants_keep_alive(&head),
        };
        Serving { conn: self }.run(head, &served).await
    }

    async fn refuse_head(&mut self, e: &HttpError, id: &str) -> After {
        let kind = match e {
            HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
            HttpError::Timeout => ErrorKind::HeadTimeout,
            HttpError::BodyTooLarge => ErrorKind::BodyTooLarge,
            HttpError::Malformed(_) | HttpError::Forbidden => ErrorKind::BadRequest,
            HttpError::Io(_) | HttpError::UnexpectedEof => return After::Close,
        };
        self.refuse_unread(kind, id).await
    }

    /// Refuses a request whose head was not understood.
    async fn refuse_unread(&mut self, kind: ErrorKind, id: &str) -> After {
        let form = RefusalForm {
            request_id: id,
            method: &Method::GET,
            keep_alive: false,
        };
        self.tell(kind.into(), &form).await
    }

    /// Tells the caller why its request got no target's answer.
    pub(super) async fn tell(&mut self, refusal: Refusal, form: &RefusalForm<'_>) -> After {
        let heads = &self.cx.heads;
        let (head, body) = heads.error_response(refusal.kind, form.request_id, refusal.retry_after);
        self.send_problem(refusal.kind, head, &body, form).await
    }

    /// Tells the caller of the earlier request under the same idempotency key.
    pub(super) async fn tell_held(
        &mut self,
        kind: ErrorKind,
        first: &FirstRequest,
        form: &RefusalForm<'_>,
    ) -> After {
        let (mut head, body) = self.cx.heads.error_response(kind, form.request_id, None);
        add_first_run(&mut head, first);
        self.send_problem(kind, head, &body, form).await
    }

    async fn send_problem(
        &mut self,
        kind: ErrorKind,
        mut head: response::Parts,
        body: &Bytes,
        form: &RefusalForm<'_>,
    ) -> After {
        self.cx.metrics.count_refusal(kind);
        log_refusal(form.request_id, kind);
        if !form.keep_alive {
            let close = HeaderValue::from_static("close");
            head.headers.insert(header::CONNECTION, close);
        }
        let mut buf = BytesMut::new();
        encode_response_head(&head, Framing::Length(body.len() as u64), &mut buf);
        if *form.method != Method::HEAD {
            buf.extend_from_slice(body);
        }
        match self.write(buf.freeze()).await {
            Ok(()) => After::whole_answer(form.keep_alive),
            Err(_) => After::Reset,
        }
    }

    /// Writes `buf` within the time limit for parts of a body.
    pub(super) async fn write(&mut self, buf: Bytes) -> Result<(), HttpError> {
        match timeout(self.cx.limits.body_part_timeout, self.writer.write(buf)).await {
            Ok(res) => res,
            Err(_) => Err(HttpError::Timeout),
        }
    }
}

fn wants_keep_alive(head: &request::Parts) -> bool {
    let names = |word: &str| {
        head.headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|v| v.to_str().ok())
            .flat_map(|v| v.split(','))
            .any(|v| v.trim().eq_ignore_ascii_case(word))
    };
    head.version == Version::HTTP_11 && !names("close")
}
