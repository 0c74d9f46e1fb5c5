//! Handling of one request, from its head to the end of its response.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request, Version};

use crate::{
    clock::BootTime,
    http::BodyKind,
    limit::Grant,
    metrics::{Counter, Latency},
    outcome::ErrorKind,
};

use super::{
    access_log::{log_admitted, log_caller_disconnected, log_response, ResponseEntry},
    access_policy::AuthorizedRequest,
    admit::{admit, admit_by_rank, Refusal},
    admitted_request::AdmittedRequest,
    caller::{CallerConnection, ConnectionFate, ErrorParams},
    deadline::Deadline,
    dispatch::{Dispatch, DispatchError},
    head_format::RequestOrigin,
    relay::{relay_response, RelayResult, ResponseParams},
    request_body::{BodyReceiver, ReceivedBody},
};

/// Longest wait that callers are told of, before they are spread.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(600);
/// Largest part of its wait that a caller waits in addition, so that those refused together do not
/// return together.
const RETRY_SPREAD: f64 = 0.5;

/// Properties of a request besides its head.
pub(super) struct RequestInfo<'a> {
    /// Id of the request.
    pub(super) id: &'a str,
    /// Framing of the body.
    pub(super) kind: BodyKind,
    /// Whether the caller wants the connection to stay open.
    pub(super) keep_alive: bool,
}

/// Handles one request of a caller.
pub(super) struct RequestHandler<'a> {
    /// Connection of the caller.
    pub(super) conn: &'a mut CallerConnection,
}

impl RequestHandler<'_> {
    /// Handles the request and returns what happens to the connection afterwards.
    pub(super) async fn run(
        &mut self,
        head: request::Parts,
        req: &RequestInfo<'_>,
    ) -> ConnectionFate {
        let (authorized, grant) = match self.authorize_and_admit(&head, req).await {
            Ok(admitted) => admitted,
            Err(refusal) => return self.refuse(refusal, &head, req).await,
        };
        if !self.send_continue(&head, req.kind).await {
            return ConnectionFate::Reset;
        }
        log_admitted(req.id, &authorized);
        let cx = self.conn.cx.clone();
        let receiver = BodyReceiver {
            kind: req.kind,
            key: authorized.key(),
            max_bytes: cx.caller_limits().body_bytes,
            limits: &cx.limits,
            buffered: &cx.buffered_bytes,
        };
        let received = monoio::select! {
            received = receiver.receive(&mut self.conn.reader) => received,
            () = cx.grace.wait() => Err(ErrorKind::ShuttingDown),
        };
        let body = match received {
            Ok(body) => body,
            Err(kind) => return self.refuse(kind.into(), &head, req).await,
        };
        let deadline = self.deadline(&head, &authorized).at();
        match self.renew_grant(grant, &authorized, req.id, deadline).await {
            Ok(()) => self.dispatch(head, body, &authorized, req).await,
            Err(refusal) => self.refuse(refusal, &head, req).await,
        }
    }

    async fn authorize_and_admit(
        &self,
        head: &request::Parts,
        req: &RequestInfo<'_>,
    ) -> Result<(AuthorizedRequest, Grant), Refusal> {
        let cx = &self.conn.cx;
        let authorized = cx.policy.authorize(head, cx.clock.now())?;
        let max = cx.caller_limits().body_bytes;
        if matches!(req.kind, BodyKind::Fixed(n) if n > max) {
            return Err(ErrorKind::BodyTooLarge.into());
        }
        let deadline = self.deadline(head, &authorized).at();
        if !cx.grace.has_time_for(deadline) {
            return Err(ErrorKind::ShuttingDown.into());
        }
        let grant = admit(cx, &authorized, req.id, deadline).await?;
        admit_by_rank(cx, &authorized, req.id)?;
        Ok((authorized, grant))
    }

    /// Returns the deadline of a request that is sent to targets now.
    fn deadline(&self, head: &request::Parts, authorized: &AuthorizedRequest) -> Deadline {
        let cx = &self.conn.cx;
        let caller_timeout = cx.heads.caller_timeout(&head.headers);
        let timeouts = [caller_timeout, authorized.timeout, Some(cx.limits.deadline)];
        Deadline::earliest(&timeouts, cx.clock.now())
    }

    /// Requests admission again if the grant expired while the body was received.
    async fn renew_grant(
        &self,
        grant: Grant,
        authorized: &AuthorizedRequest,
        id: &str,
        deadline: BootTime,
    ) -> Result<(), Refusal> {
        let cx = &self.conn.cx;
        if grant.is_valid(cx.clock.now()) {
            return Ok(());
        }
        cx.metrics.count(Counter::GrantsLate);
        admit(cx, authorized, id, deadline).await.map(|_| ())
    }

    /// Responds to `Expect: 100-continue`; returns false if the connection failed.
    async fn send_continue(&mut self, head: &request::Parts, kind: BodyKind) -> bool {
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
        authorized: &AuthorizedRequest,
        req: &RequestInfo<'_>,
    ) -> ConnectionFate {
        let cx = self.conn.cx.clone();
        let started = cx.clock.now();
        let mut body = received.body;
        let deadline = self.deadline(&head, authorized);
        let admitted = AdmittedRequest::new(&cx, authorized, req.id, deadline.at());
        if !cx.grace.has_time_for(deadline.at()) {
            return self
                .refuse(ErrorKind::ShuttingDown.into(), &head, req)
                .await;
        }
        let workspace = authorized.workspace();
        let dispatch = Dispatch {
            cx: &cx,
            admitted: &admitted,
            request_id: req.id,
            repeatable: authorized.repeatable,
            deadline,
            resent_early: self.conn.resent_early(started),
        };
        let origin = RequestOrigin {
            workspace: authorized.identity.as_ref().map(|i| &*i.workspace),
            request_id: req.id,
        };
        cx.heads.prepare_for_target(&mut head, &origin);
        let res = dispatch
            .serve(&mut head, &mut body, &mut self.conn.reader)
            .await;
        let keep_alive = req.keep_alive && body.is_received() && !cx.draining.is_triggered();
        let error_params = ErrorParams {
            request_id: req.id,
            method: &head.method,
            keep_alive,
        };
        let response = match res {
            Ok(response) => response,
            Err(DispatchError::CallerDisconnected) => {
                cx.metrics.count(Counter::CallersGone);
                log_caller_disconnected(req.id);
                return ConnectionFate::Reset;
            }
            Err(DispatchError::ClaimConflict(kind, first)) => {
                return self
                    .conn
                    .respond_claim_conflict(kind, &first, &error_params)
                    .await;
            }
            Err(DispatchError::Unavailable(kind, wait)) => {
                let refusal = Refusal {
                    kind,
                    retry_after: Some(spread_wait(wait)),
                };
                return self.conn.respond_error(refusal, &error_params).await;
            }
            Err(DispatchError::Failed(kind)) => {
                return self.conn.respond_error(kind.into(), &error_params).await;
            }
        };
        let status = response.started.head.status;
        let params = ResponseParams {
            method: &head.method,
            version: head.version,
            keep_alive,
            request_id: req.id,
            target_reusable: body.is_replayable(),
            deadline: dispatch.deadline,
        };
        let relayed = relay_response(&cx, response, &params, &mut self.conn.writer).await;
        let took = cx.clock.now().since(started);
        cx.metrics.record_latency(Latency::AnswerLatencyS, took);
        log_response(&ResponseEntry {
            request_id: req.id,
            workspace: &workspace,
            service: &authorized.service,
            method: &head.method,
            status,
            whole: matches!(relayed, RelayResult::KeepAlive | RelayResult::Close),
            took,
        });
        match relayed {
            RelayResult::KeepAlive => ConnectionFate::KeepAlive,
            RelayResult::Close => ConnectionFate::Close,
            RelayResult::Truncated => ConnectionFate::Reset,
        }
    }

    /// Refuses the request; the connection stays open only if the request has no body.
    async fn refuse(
        &mut self,
        refusal: Refusal,
        head: &request::Parts,
        req: &RequestInfo<'_>,
    ) -> ConnectionFate {
        let keep_alive = req.kind == BodyKind::Empty && req.keep_alive;
        let params = ErrorParams {
            request_id: req.id,
            method: &head.method,
            keep_alive: keep_alive && !self.conn.cx.draining.is_triggered(),
        };
        self.conn.respond_error(refusal, &params).await
    }
}

/// Returns a wait of at least `wait`, within its bound, that differs between callers.
fn spread_wait(wait: Duration) -> Duration {
    let factor = 1.0 + RETRY_SPREAD * fastrand::f64();
    wait.min(MAX_RETRY_AFTER).mul_f64(factor)
}
