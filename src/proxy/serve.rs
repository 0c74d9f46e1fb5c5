//! Serving one request of a caller, from its head to the end of its answer.

use bytes::Bytes;
use http::{header, request, Version};

use crate::{
    http::BodyKind,
    limit::Grant,
    metrics::{Counter, Latency},
    outcome::ErrorKind,
};

use super::{
    access_log::{log_admitted, log_answer, log_caller_gone, AnswerLine},
    access_policy::AuthorizedRequest,
    admit::{admit, Refusal},
    caller::{After, CallerConnection, RefusalForm},
    deadline::Deadline,
    dispatch::{Dispatch, DispatchError},
    head_format::RequestOrigin,
    relay::{relay_answer, AnswerForm, Relayed},
    request_body::{BodyReceiver, ReceivedBody},
    standing::Standing,
};

/// What is known of a request besides its head.
pub(super) struct ServedRequest<'a> {
    /// Identity of the request.
    pub(super) id: &'a str,
    /// How its body is framed.
    pub(super) kind: BodyKind,
    /// Whether the caller wants the connection to stay open.
    pub(super) keep_alive: bool,
}

/// Serves one request of a caller.
pub(super) struct Serving<'a> {
    /// Connection of the caller.
    pub(super) conn: &'a mut CallerConnection,
}

impl Serving<'_> {
    /// Serves the request, and returns what becomes of the connection.
    pub(super) async fn run(&mut self, head: request::Parts, req: &ServedRequest<'_>) -> After {
        let (allowed, grant) = match self.check(&head, req).await {
            Ok(checked) => checked,
            Err(refusal) => return self.refuse(refusal, &head, req).await,
        };
        if !self.confirm_body(&head, req.kind).await {
            return After::Reset;
        }
        log_admitted(req.id, &allowed);
        let cx = self.conn.cx.clone();
        let receiver = BodyReceiver {
            kind: req.kind,
            key: allowed.key(),
            max_bytes: cx.caller_limits().body_bytes,
            limits: &cx.limits,
            buffered: &cx.buffered_bytes,
        };
        let body = match receiver.receive(&mut self.conn.reader).await {
            Ok(body) => body,
            Err(kind) => return self.refuse(kind.into(), &head, req).await,
        };
        match self.confirm_grant(grant, &allowed, req.id).await {
            Ok(()) => self.dispatch(head, body, &allowed, req).await,
            Err(refusal) => self.refuse(refusal, &head, req).await,
        }
    }

    async fn check(
        &self,
        head: &request::Parts,
        req: &ServedRequest<'_>,
    ) -> Result<(AuthorizedRequest, Grant), Refusal> {
        let cx = &self.conn.cx;
        let allowed = cx.policy.authorize(head, cx.clock.now())?;
        let max = cx.caller_limits().body_bytes;
        if matches!(req.kind, BodyKind::Fixed(n) if n > max) {
            return Err(ErrorKind::BodyTooLarge.into());
        }
        let grant = admit(cx, &allowed, req.id).await?;
        Ok((allowed, grant))
    }

    /// Asks for admission again when the grant became void while the body came in.
    async fn confirm_grant(
        &self,
        grant: Grant,
        allowed: &AuthorizedRequest,
        id: &str,
    ) -> Result<(), Refusal> {
        let cx = &self.conn.cx;
        if grant.is_valid(cx.clock.now()) {
            return Ok(());
        }
        cx.metrics.count(Counter::GrantsLate);
        admit(cx, allowed, id).await.map(|_| ())
    }

    /// Answers `Expect: 100-continue`; returns false when the connection failed.
    async fn confirm_body(&mut self, head: &request::Parts, kind: BodyKind) -> bool {
        let expected = head.headers.contains_key(header::EXPECT)
            && head.version == Version::HTTP_11
            && kind != BodyKind::Empty;
        if !expected || self.conn.reader.has_buffered() {
            return true;
        }
        let buf = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.conn.write(buf).await.is_ok()
    }

    async fn dispatch(
        &mut self,
        mut head: request::Parts,
        received: ReceivedBody,
        allowed: &AuthorizedRequest,
        req: &ServedRequest<'_>,
    ) -> After {
        let cx = self.conn.cx.clone();
        let started = cx.clock.now();
        let mut body = received.body;
        let standing = Standing::new(&cx, allowed, req.id);
        let named = cx.heads.caller_timeout(&head.headers);
        let times = [named, allowed.timeout, Some(cx.limits.deadline)];
        let workspace = allowed.workspace();
        let dispatch = Dispatch {
            cx: &cx,
            standing: &standing,
            request_id: req.id,
            repeatable: allowed.repeatable,
            deadline: Deadline::earliest(&times, started),
        };
        let sender = RequestOrigin {
            workspace: allowed.identity.as_ref().map(|i| &*i.workspace),
            request_id: req.id,
        };
        cx.heads.prepare_for_target(&mut head, &sender);
        let outcome = dispatch
            .serve(&mut head, &mut body, &mut self.conn.reader)
            .await;
        let keep_alive = req.keep_alive && body.is_received() && !cx.draining.is_triggered();
        let refusal = RefusalForm {
            request_id: req.id,
            method: &head.method,
            keep_alive,
        };
        let answer = match outcome {
            Ok(answer) => answer,
            Err(DispatchError::CallerDisconnected) => {
                cx.metrics.count(Counter::CallersGone);
                log_caller_gone(req.id);
                return After::Reset;
            }
            Err(DispatchError::Held(kind, first)) => {
                return self.conn.tell_held(kind, &first, &refusal).await;
            }
            Err(DispatchError::Failed(kind)) => {
                return self.conn.tell(kind.into(), &refusal).await;
            }
        };
        let status = answer.head.status;
        let form = AnswerForm {
            method: &head.method,
            version: head.version,
            keep_alive,
            request_id: req.id,
            target_reusable: body.is_replayable(),
        };
        let relayed = relay_answer(&cx, answer, &form, &mut self.conn.writer).await;
        let took = cx.clock.now().since(started);
        cx.metrics.record_latency(Latency::AnswerLatencyS, took);
        log_answer(&AnswerLine {
            request_id: req.id,
            workspace: &workspace,
            service: &allowed.service,
            method: &head.method,
            status,
            whole: matches!(relayed, Relayed::KeepAlive | Relayed::Close),
            took,
        });
        match relayed {
            Relayed::KeepAlive => After::KeepAlive,
            Relayed::Close => After::Close,
            Relayed::CutOff => After::Reset,
            Relayed::Malformed => {
                let kind = ErrorKind::TargetMalformed;
                self.conn.tell(kind.into(), &refusal).await
            }
        }
    }

    /// Refuses the request; the connection stays open only when no body follows.
    async fn refuse(
        &mut self,
        refusal: Refusal,
        head: &request::Parts,
        req: &ServedRequest<'_>,
    ) -> After {
        let open = req.kind == BodyKind::Empty && req.keep_alive;
        let form = RefusalForm {
            request_id: req.id,
            method: &head.method,
            keep_alive: open && !self.conn.cx.draining.is_triggered(),
        };
        self.conn.tell(refusal, &form).await
    }
}
