//! One connection of a caller.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http::{header, request, response, HeaderValue, Version};
use monoio::{io::Splitable, net::TcpStream, time::timeout};

use crate::{
    claim::FirstRun,
    http::{
        encode_response_head, request_body_kind, BodyKind, Framing, HttpError, HttpReader,
        HttpWriter,
    },
    metrics::Counter,
    outcome::{problem_response, ErrorKind},
    retry::is_repeatable,
};

use super::{
    admit::{admit, authorize, Refusal},
    deadline::Deadline,
    dispatch::{Dispatch, DispatchError},
    headers::{add_first_run, add_outcome, prepare_for_target, repeatable_mark},
    relay::{relay_answer, AnswerForm, Relayed},
    request_body::RequestBody,
    ProxyContext,
};

/// What becomes of the connection behind an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum After {
    KeepAlive,
    Close,
}

/// One connection of a caller.
pub(super) struct CallerConnection {
    cx: Rc<ProxyContext>,
    reader: HttpReader,
    writer: HttpWriter,
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
            if self.serve_request().await == After::Close {
                break;
            }
        }
        self.writer.shutdown().await;
    }

    /// Refuses the connection's first request without reading it.
    pub(super) async fn refuse(mut self, kind: ErrorKind) {
        let id = self.cx.next_request_id();
        self.tell(kind.into(), &id, false).await;
        self.writer.shutdown().await;
    }

    async fn wait_for_request(&mut self) -> bool {
        if self.cx.shutdown.has_begun() {
            return self.reader.has_buffered();
        }
        let shutdown = self.cx.shutdown.clone();
        let next = timeout(self.cx.limits.idle_timeout, self.reader.wait_for_message());
        monoio::select! {
            next = next => matches!(next, Ok(Ok(true))),
            () = shutdown.wait() => false,
        }
    }

    async fn serve_request(&mut self) -> After {
        let id = self.cx.next_request_id();
        let limits = self.cx.head_limits();
        let head = match self.reader.read_request_head(&limits).await {
            Ok(head) => head,
            Err(e) => return self.refuse_head(&e, &id).await,
        };
        self.cx.metrics.count(Counter::Requests);
        let kind = match request_body_kind(&head) {
            Ok(kind) => kind,
            Err(_) => {
                self.tell(ErrorKind::BadRequest.into(), &id, false).await;
                return After::Close;
            }
        };
        let Some(_guard) = self.cx.in_flight.enter() else {
            return self
                .refuse_request(ErrorKind::TooManyInFlight.into(), &id, &head, kind)
                .await;
        };
        self.answer(head, kind, &id).await
    }

    async fn answer(&mut self, mut head: request::Parts, kind: BodyKind, id: &str) -> After {
        let cx = self.cx.clone();
        let now = cx.clock.now();
        let allowed = match authorize(&cx, &head) {
            Ok(allowed) => allowed,
            Err(refusal) => return self.refuse_request(refusal, id, &head, kind).await,
        };
        if let Err(refusal) = admit(&cx, &allowed).await {
            return self.refuse_request(refusal, id, &head, kind).await;
        }
        if !self.confirm_body(&head, kind).await {
            return After::Close;
        }
        let mut body = match RequestBody::receive(kind, &mut self.reader, &cx.limits).await {
            Ok(body) => body,
            Err(_) => {
                self.tell(ErrorKind::BodyIncomplete.into(), id, false).await;
                return After::Close;
            }
        };
        let keep_alive = wants_keep_alive(&head);
        let mark = repeatable_mark(&head.headers);
        let dispatch = Dispatch {
            cx: &cx,
            service: &allowed.service,
            workspace: &allowed.workspace,
            request_id: id,
            repeatable: is_repeatable(&head.method, allowed.repeatable, mark),
            deadline: Deadline::of_request(&head.headers, cx.limits.deadline, now),
        };
        prepare_for_target(&mut head, &allowed.workspace, id);
        let outcome = dispatch.serve(&mut head, &mut body, &mut self.reader).await;
        let keep_alive = keep_alive && body.is_received() && !cx.leaving.has_begun();
        match outcome {
            Err(DispatchError::CallerGone) => {
                cx.metrics.count(Counter::CallersGone);
                After::Close
            }
            Err(DispatchError::Failed(kind)) => {
                self.tell(kind.into(), id, keep_alive).await;
                after(keep_alive)
            }
            Err(DispatchError::Held(kind, first)) => {
                self.tell_held(kind, &first, id, keep_alive).await;
                after(keep_alive)
            }
            Ok(answer) => {
                let form = AnswerForm {
                    method: &head.method,
                    version: head.version,
                    keep_alive,
                    request_id: id,
                };
                match relay_answer(&cx, answer, &form, &mut self.writer).await {
                    Relayed::KeepAlive => After::KeepAlive,
                    Relayed::Close | Relayed::CutOff => After::Close,
                    Relayed::Malformed => {
                        self.tell(ErrorKind::TargetMalformed.into(), id, keep_alive)
                            .await;
                        after(keep_alive)
                    }
                }
            }
        }
    }

    /// Answers `Expect: 100-continue`; returns false when the connection failed.
    async fn confirm_body(&mut self, head: &request::Parts, kind: BodyKind) -> bool {
        let expected = head.headers.contains_key(header::EXPECT) && kind != BodyKind::Empty;
        if !expected || self.reader.has_buffered() {
            return true;
        }
        let buf = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.writer.write(buf).await.is_ok()
    }

    async fn refuse_head(&mut self, e: &HttpError, id: &str) -> After {
        let kind = match e {
            HttpError::HeadTooLarge => ErrorKind::HeadTooLarge,
            HttpError::Timeout => ErrorKind::HeadTimeout,
            HttpError::Malformed(_) => ErrorKind::BadRequest,
            HttpError::Io(_) | HttpError::UnexpectedEof => return After::Close,
        };
        self.tell(kind.into(), id, false).await;
        After::Close
    }

    /// Refuses a request; the connection stays open only when no body follows.
    async fn refuse_request(
        &mut self,
        refusal: Refusal,
        id: &str,
        head: &request::Parts,
        kind: BodyKind,
    ) -> After {
        let keep_alive =
            kind == BodyKind::Empty && wants_keep_alive(head) && !self.cx.leaving.has_begun();
        self.tell(refusal, id, keep_alive).await;
        after(keep_alive)
    }

    /// Tells of the earlier request under the same idempotency key.
    async fn tell_held(&mut self, kind: ErrorKind, first: &FirstRun, id: &str, keep_alive: bool) {
        self.cx.metrics.count_refusal(kind);
        log::info!("request {id}: {}", kind.name());
        let (mut head, body) = problem_response(kind, id, None);
        add_outcome(&mut head, kind.answer().outcome, id);
        add_first_run(&mut head, first);
        if !keep_alive {
            head.headers
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let _ = self.send(&head, &body).await;
    }

    async fn tell(&mut self, refusal: Refusal, id: &str, keep_alive: bool) {
        self.cx.metrics.count_refusal(refusal.kind);
        log::info!("request {id}: {}", refusal.kind.name());
        let (mut head, body) = problem_response(refusal.kind, id, refusal.retry_after);
        add_outcome(&mut head, refusal.kind.answer().outcome, id);
        if !keep_alive {
            head.headers
                .insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let _ = self.send(&head, &body).await;
    }

    async fn send(&mut self, head: &response::Parts, body: &Bytes) -> Result<(), HttpError> {
        let mut buf = BytesMut::new();
        encode_response_head(head, Framing::Length(body.len() as u64), &mut buf);
        buf.extend_from_slice(body);
        self.writer.write(buf.freeze()).await
    }
}

fn after(keep_alive: bool) -> After {
    if keep_alive {
        After::KeepAlive
    } else {
        After::Close
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
