//! Dispatch of admitted requests to targets.

use std::{rc::Rc, time::Duration};

use http::{request, response};

use crate::{
    claim::FirstRequest,
    clock::BootTime,
    health::{PickedTarget, TargetId},
    http::{BodyKind, HttpError, HttpReader},
    metrics::Counter,
    outcome::{ErrorKind, Outcome},
    poison::Refusal,
    pool::{TargetConnection, MAX_IDLE, MAX_RECENT_IDLE},
    retry::{
        Action, AttemptFailure, ConnectionSource, Event, RequestStateMachine, RetryPolicy,
        RetryReason,
    },
};

use super::{
    access_log::log_retry,
    admitted_request::AdmittedRequest,
    crash_detection::refusal_error,
    deadline::Deadline,
    exchange::{Exchange, ResponseBody},
    request_body::RequestBody,
    ProxyContext,
};

/// A request to be sent to targets.
pub(super) struct Dispatch<'a> {
    /// State shared by all connections.
    pub(super) cx: &'a ProxyContext,
    /// The admitted request.
    pub(super) admitted: &'a AdmittedRequest<'a>,
    /// Id of the request.
    pub(super) request_id: &'a str,
    /// Whether the request may run more than once.
    pub(super) repeatable: bool,
    /// Deadline of the request.
    pub(super) deadline: Deadline,
    /// Whether the caller sent a request before the wait that it was told to had passed.
    pub(super) resent_early: bool,
}

/// A response with the beginning of its body.
pub(super) struct StartedResponse {
    /// Response head.
    pub(super) head: response::Parts,
    /// Framing of the body.
    pub(super) kind: BodyKind,
    /// The body.
    pub(super) body: ResponseBody,
}

/// A target's response, of which the rest of the body is still to be read.
pub(super) struct TargetResponse {
    /// The response as far as it was received.
    pub(super) started: StartedResponse,
    /// Connection from which the rest is read.
    pub(super) conn: TargetConnection,
    /// The picked target, which counts the request as in flight until this is dropped.
    pub(super) picked: PickedTarget,
}

/// The reason for which no target answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DispatchError {
    /// The caller receives this error.
    Failed(ErrorKind),
    /// The caller receives this error, and may send the request again after this time.
    Unavailable(ErrorKind, Duration),
    /// An earlier request holds the claim.
    ClaimConflict(ErrorKind, FirstRequest),
    /// The caller disconnected.
    CallerDisconnected,
}

/// The result of sending a request to targets.
pub(super) struct RunResult {
    /// The response, or the reason why there is none.
    pub(super) result: Result<TargetResponse, DispatchError>,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
}

impl Dispatch<'_> {
    /// Returns the service that the request is routed to.
    pub(super) fn service(&self) -> &Rc<str> {
        &self.admitted.authorized.service
    }

    /// Returns the workspace of the caller.
    pub(super) fn workspace(&self) -> Rc<str> {
        self.admitted.authorized.workspace()
    }

    /// Returns whether requests of this rank are being rejected, so that this one is not sent again.
    pub(super) fn is_rank_rejected(&self) -> bool {
        let authorized = self.admitted.authorized;
        let admission = self.cx.admission.as_ref();
        admission.is_some_and(|a| a.rejects(&authorized.service, authorized.rank))
    }

    /// Sends the request to targets until one responds.
    pub(super) async fn send_to_targets(
        &self,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> RunResult {
        let (service, now) = (self.service(), self.cx.clock.now());
        self.cx.retry_states.record_request(service, now);
        let admission = self.cx.admission.as_ref();
        let _in_flight = admission.map(|admission| admission.start(service));
        self.cx.hedging.record_request(service, now);
        let policy = RetryPolicy {
            repeatable: self.repeatable,
            replayable: body.is_replayable(),
            retry_on_silence: self.cx.retry_on_silence,
            trust_recent_connections: !self.cx.retry_on_silence,
            max_attempts: self.admitted.authorized.max_attempts,
        };
        let mut run = RequestRun {
            dispatch: self,
            cx: self.cx,
            machine: RequestStateMachine::new(policy),
            head,
            body,
            caller,
            tried: Vec::new(),
            retry_after: None,
            attempt: None,
            response: None,
            may_hedge: true,
            is_poison_test: false,
        };
        RunResult {
            result: run.execute().await,
            may_have_run: run.machine.may_have_run(),
        }
    }
}

/// The attempt in progress.
pub(super) struct CurrentAttempt {
    pub(super) picked: PickedTarget,
    pub(super) conn: Option<TargetConnection>,
    pub(super) started: BootTime,
    pub(super) silence_handled: bool,
    /// Whether it was sent beside another attempt.
    pub(super) is_second: bool,
}

/// Executes the actions that the state machine of one request asks for.
pub(super) struct RequestRun<'a> {
    pub(super) dispatch: &'a Dispatch<'a>,
    pub(super) cx: &'a ProxyContext,
    pub(super) machine: RequestStateMachine,
    pub(super) head: &'a mut request::Parts,
    pub(super) body: &'a mut RequestBody,
    pub(super) caller: &'a mut HttpReader,
    pub(super) tried: Vec<TargetId>,
    /// Time until a target may take the request, if none did for lack of capacity.
    pub(super) retry_after: Option<Duration>,
    pub(super) attempt: Option<CurrentAttempt>,
    pub(super) response: Option<StartedResponse>,
    /// Whether a second attempt has not been decided on yet.
    pub(super) may_hedge: bool,
    /// Whether the request tests whether it crashes targets.
    pub(super) is_poison_test: bool,
}

impl RequestRun<'_> {
    async fn execute(&mut self) -> Result<TargetResponse, DispatchError> {
        let cx = self.cx;
        let mut action = Action::Pick;
        loop {
            action = match action {
                Action::Pick
                | Action::Connect(_)
                | Action::Send
                | Action::AwaitHead
                | Action::CheckBudget(_) => monoio::select! {
                    next = self.perform(action) => next,
                    () = cx.grace.wait() => self.step(Event::DeadlinePassed),
                },
                Action::Relay => return self.take_response(),
                Action::RespondError(kind) => {
                    let is_not_run = kind.response().outcome == Outcome::NotRun;
                    let wait = self.retry_after.filter(|_| is_not_run);
                    let failed = DispatchError::Failed(kind);
                    return Err(wait.map_or(failed, |w| DispatchError::Unavailable(kind, w)));
                }
                Action::AbortResponse | Action::Cancel | Action::Finish => {
                    return Err(DispatchError::CallerDisconnected)
                }
            };
        }
    }

    /// Performs an action that does not end the request, and returns the next one.
    async fn perform(&mut self, action: Action) -> Action {
        match action {
            Action::Pick => self.pick_target().await,
            Action::Connect(source) => self.connect(source).await,
            Action::Send => self.send_request().await,
            Action::AwaitHead => self.await_response_head().await,
            Action::CheckBudget(reason) => self.check_budget(reason),
            other => other,
        }
    }

    /// Reports `event` to the state machine; an event that is not valid in the current phase
    /// cancels the request.
    pub(super) fn step(&mut self, event: Event) -> Action {
        self.machine.step(event).unwrap_or(Action::Cancel)
    }

    async fn connect(&mut self, source: ConnectionSource) -> Action {
        let Some(attempt) = &mut self.attempt else {
            return self.step(Event::Failed(AttemptFailure::Connect));
        };
        let address = attempt.picked.address;
        let max_idle = match source {
            ConnectionSource::New => None,
            ConnectionSource::RecentOrNew => Some(MAX_RECENT_IDLE),
            ConnectionSource::PooledOrNew => Some(MAX_IDLE),
        };
        if let Some(max_idle) = max_idle {
            if let Some(mut conn) = self.cx.pool.take(address, max_idle).await {
                conn.reused = true;
                attempt.conn = Some(conn);
                return self.step(Event::Connected { reused: true });
            }
        }
        let now = self.cx.clock.now();
        let left = self.dispatch.deadline.left(now);
        let limit = self.cx.limits.connect_timeout.min(left);
        self.cx.metrics.count(Counter::TargetConnections);
        match TargetConnection::open(address, limit, now).await {
            Ok(conn) => {
                attempt.conn = Some(conn);
                self.step(Event::Connected { reused: false })
            }
            Err(e) => {
                self.trip_breaker(!matches!(e, HttpError::Timeout));
                self.on_attempt_ended(Event::Failed(AttemptFailure::Connect))
                    .await
            }
        }
    }

    async fn send_request(&mut self) -> Action {
        if let Err(kind) = self.dispatch.admitted.recheck(self.cx).await {
            return self.step(Event::SendRefused(kind));
        }
        // The request may have been found to crash targets while it waited for one.
        if let Some(refusal) = self.poison_refusal() {
            let (kind, retry_after) = refusal_error(refusal);
            self.retry_after = Some(retry_after);
            return self.step(Event::SendRefused(kind));
        }
        let picked = self.attempt.as_ref().map(|attempt| &attempt.picked);
        let now = self.cx.clock.now();
        if let Some(picked) = picked.filter(|picked| picked.is_withdrawn(now)) {
            log::info!(request_id = self.dispatch.request_id, target_name = &*picked.name;
                "target withdrawn before the request was sent");
            self.cx.metrics.count(Counter::PicksWithdrawn);
            return self.step(Event::TargetWithdrawn);
        }
        self.is_poison_test |= self.dispatch.begin_poison_test(self.head, self.body);
        let next = self.step(Event::SendStarted);
        let left = self.dispatch.deadline.left(self.cx.clock.now());
        if let Some(attempt) = &self.attempt {
            let (headers, target) = (&mut self.head.headers, &attempt.picked.name);
            self.cx.heads.address_to_target(headers, target, left);
        }
        self.cx.metrics.count(Counter::Attempts);
        let Some(exchange) = self.exchange() else {
            return self.step(Event::CallerDisconnected);
        };
        match exchange.send().await {
            Ok(None) => next,
            Ok(Some(head)) => self.on_response_head(head).await,
            Err(event) => self.on_attempt_ended(event).await,
        }
    }

    async fn await_response_head(&mut self) -> Action {
        if let Some((hedge, delay)) = self.hedge() {
            return self.await_hedged(hedge, delay).await;
        }
        let timeout = self.silence_time_left();
        let Some(exchange) = self.exchange() else {
            return self.step(Event::CallerDisconnected);
        };
        match exchange.await_head(timeout).await {
            Ok(head) => self.on_response_head(head).await,
            Err(Event::SilenceTimeout) => {
                if let Some(attempt) = &mut self.attempt {
                    attempt.silence_handled = true;
                }
                self.step(Event::SilenceTimeout)
            }
            Err(event) => self.on_attempt_ended(event).await,
        }
    }

    pub(super) fn exchange(&mut self) -> Option<Exchange<'_>> {
        let attempt = self.attempt.as_mut()?;
        Some(Exchange {
            conn: attempt.conn.as_mut()?,
            caller: &mut *self.caller,
            head: &*self.head,
            body: &mut *self.body,
            limits: &self.cx.limits,
            time_left: self.dispatch.deadline.left(self.cx.clock.now()),
        })
    }

    /// Returns the time until the connection is considered silent; `None` if that would not lead to
    /// a retry.
    fn silence_time_left(&self) -> Option<Duration> {
        let attempt = self.attempt.as_ref()?;
        if attempt.silence_handled || !self.machine.would_retry_on_silence() {
            return None;
        }
        let now = self.cx.clock.now();
        let timeout = self
            .cx
            .retry_states
            .silence_timeout(self.dispatch.service(), now);
        Some(timeout.saturating_sub(now.since(attempt.started)))
    }

    /// Returns how the request is refused as one that crashes targets. A test goes on as long as the
    /// request is held back only.
    fn poison_refusal(&self) -> Option<Refusal> {
        let refusal = self.dispatch.check_poison(self.head, self.body).err()?;
        let goes_on = self.is_poison_test && matches!(refusal, Refusal::HeldBack(_));
        (!goes_on).then_some(refusal)
    }

    fn check_budget(&mut self, reason: RetryReason) -> Action {
        let now = self.cx.clock.now();
        let is_poison = self.poison_refusal().is_some();
        // A retry after a failed connect is free, as the target received nothing of the request.
        let is_free = reason == RetryReason::ConnectFailed;
        let is_dropped = self.dispatch.is_rank_rejected();
        if is_dropped {
            self.cx.metrics.count(Counter::AdmissionRetriesDropped);
        }
        let retry_states = &self.cx.retry_states;
        let granted = !is_dropped
            && (is_free || retry_states.try_withdraw_retry(self.dispatch.service(), now));
        log_retry(self.dispatch.request_id, reason, granted && !is_poison);
        if is_poison || !granted {
            self.cx.metrics.count_refused_retry(reason);
            return self.step(Event::BudgetRefused);
        }
        self.cx.metrics.count_retry(reason);
        if reason == RetryReason::SilentConnection {
            self.on_silence();
        }
        self.step(Event::BudgetGranted)
    }

    fn take_response(&mut self) -> Result<TargetResponse, DispatchError> {
        let attempt = self
            .attempt
            .take()
            .ok_or(DispatchError::CallerDisconnected)?;
        Ok(TargetResponse {
            started: self
                .response
                .take()
                .ok_or(DispatchError::CallerDisconnected)?,
            conn: attempt.conn.ok_or(DispatchError::CallerDisconnected)?,
            picked: attempt.picked,
        })
    }
}
