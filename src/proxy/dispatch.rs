//! Sending an admitted request to targets until one answers.

use std::{rc::Rc, time::Duration};

use http::{request, response};

use crate::{
    claim::FirstRequest,
    clock::BootTime,
    health::{PickError, PickedTarget, ScheduleRequest, TargetId},
    http::{HttpError, HttpReader},
    metrics::Counter,
    outcome::ErrorKind,
    pool::{TargetConnection, MAX_IDLE, MAX_RECENT_IDLE},
    retry::{
        Action, AttemptFailure, ConnectionSource, Event, RequestStateMachine, RetryPolicy,
        RetryReason,
    },
};

use super::{
    access_log::{log_placed, log_retry, PlacedLine},
    attempt::Attempt,
    deadline::Deadline,
    request_body::RequestBody,
    standing::Standing,
    ProxyContext,
};

/// A request that may be sent to targets.
pub(super) struct Dispatch<'a> {
    /// What all connections share.
    pub(super) cx: &'a ProxyContext,
    /// The admitted request.
    pub(super) standing: &'a Standing<'a>,
    /// Identity of the request.
    pub(super) request_id: &'a str,
    /// Whether the request may run more than once.
    pub(super) repeatable: bool,
    /// When the answer must be there.
    pub(super) deadline: Deadline,
}

/// The head of a target's answer, whose body is still to be read.
pub(super) struct TargetAnswer {
    /// Head of the answer.
    pub(super) head: response::Parts,
    /// Connection from which the body comes.
    pub(super) conn: TargetConnection,
    /// The target, in flight until this is dropped.
    pub(super) picked: PickedTarget,
}

/// Why no target answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum DispatchError {
    /// The caller is told of this kind.
    Failed(ErrorKind),
    /// An earlier request holds the claim.
    Held(ErrorKind, FirstRequest),
    /// The caller went away.
    CallerDisconnected,
}

/// The end of a request at the targets.
pub(super) struct RunEnd {
    /// The answer, or why there is none.
    pub(super) result: Result<TargetAnswer, DispatchError>,
    /// Whether a target may have run the request.
    pub(super) may_have_run: bool,
}

impl Dispatch<'_> {
    /// Returns the service that serves the request.
    pub(super) fn service(&self) -> &Rc<str> {
        &self.standing.allowed.service
    }

    /// Returns the workspace of the caller.
    pub(super) fn workspace(&self) -> Rc<str> {
        self.standing.allowed.workspace()
    }

    /// Sends the request to targets until one answers.
    pub(super) async fn run(
        &self,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> RunEnd {
        let facts = RetryPolicy {
            repeatable: self.repeatable,
            replayable: body.is_replayable(),
            retry_on_silence: self.cx.retry_on_silence,
            trust_recent_connections: !self.cx.retry_on_silence,
            max_attempts: self.standing.allowed.max_attempts,
        };
        let mut run = Run {
            dispatch: self,
            cx: self.cx,
            machine: RequestStateMachine::new(facts),
            head,
            body,
            caller,
            tried: Vec::new(),
            exchange: None,
            answer: None,
        };
        RunEnd {
            result: run.drive().await,
            may_have_run: run.machine.may_have_run(),
        }
    }
}

/// The attempt in progress.
pub(super) struct Exchange {
    pub(super) picked: PickedTarget,
    pub(super) conn: Option<TargetConnection>,
    pub(super) started: BootTime,
    silence_asked: bool,
}

/// Does what the machine of one request asks for.
pub(super) struct Run<'a> {
    pub(super) dispatch: &'a Dispatch<'a>,
    pub(super) cx: &'a ProxyContext,
    machine: RequestStateMachine,
    pub(super) head: &'a mut request::Parts,
    pub(super) body: &'a mut RequestBody,
    caller: &'a mut HttpReader,
    tried: Vec<TargetId>,
    pub(super) exchange: Option<Exchange>,
    pub(super) answer: Option<response::Parts>,
}

impl Run<'_> {
    async fn drive(&mut self) -> Result<TargetAnswer, DispatchError> {
        let mut action = Action::Pick;
        loop {
            action = match action {
                Action::Pick => self.pick().await,
                Action::Connect(kind) => self.connect(kind).await,
                Action::Send => self.send().await,
                Action::AwaitHead => self.await_head().await,
                Action::CheckBudget(reason) => self.ask_budget(reason),
                Action::Relay => return self.take_answer(),
                Action::RespondError(kind) => return Err(DispatchError::Failed(kind)),
                Action::AbortResponse | Action::Cancel | Action::Finish => {
                    return Err(DispatchError::CallerDisconnected)
                }
            };
        }
    }

    /// Tells the machine of `event`; one that cannot happen now ends the request.
    pub(super) fn step(&mut self, event: Event) -> Action {
        self.machine.step(event).unwrap_or(Action::Cancel)
    }

    async fn pick(&mut self) -> Action {
        self.exchange = None;
        if self.dispatch.deadline.has_passed(self.cx.clock.now()) {
            return self.step(Event::DeadlinePassed);
        }
        let asked = self.cx.clock.now();
        let picked = match self.cx.balancer.pick(self.order()).await {
            Ok(picked) => picked,
            Err(PickError::NoTarget) => return self.step(Event::NoTarget),
            Err(PickError::Busy | PickError::Overloaded) => return self.step(Event::Overloaded),
        };
        let now = self.cx.clock.now();
        log_placed(&PlacedLine {
            request_id: self.dispatch.request_id,
            target: &picked.name,
            tried: self.tried.len(),
            waited: now.since(asked),
            left: self.dispatch.deadline.left(now),
        });
        self.tried.push(picked.id);
        self.exchange = Some(Exchange {
            picked,
            conn: None,
            started: self.cx.clock.now(),
            silence_asked: false,
        });
        self.step(Event::Picked)
    }

    fn order(&self) -> ScheduleRequest {
        let identity = self.dispatch.standing.allowed.identity.as_ref();
        ScheduleRequest {
            service: self.dispatch.service().clone(),
            workspace: self.dispatch.workspace(),
            rate_per_s: identity.map_or(0.0, |i| i.plan.rate_per_s),
            repeatable: self.dispatch.repeatable,
            deadline: self.dispatch.deadline.at(),
            avoid: self.tried.clone(),
        }
    }

    async fn connect(&mut self, kind: ConnectionSource) -> Action {
        let Some(exchange) = &mut self.exchange else {
            return self.step(Event::Failed(AttemptFailure::Connect));
        };
        let address = exchange.picked.address;
        let longest_idle = match kind {
            ConnectionSource::New => None,
            ConnectionSource::RecentOrNew => Some(MAX_RECENT_IDLE),
            ConnectionSource::PooledOrNew => Some(MAX_IDLE),
        };
        if let Some(longest) = longest_idle {
            if let Some(mut conn) = self.cx.pool.take(address, longest).await {
                conn.reused = true;
                exchange.conn = Some(conn);
                return self.step(Event::Connected { reused: true });
            }
        }
        let now = self.cx.clock.now();
        let left = self.dispatch.deadline.left(now);
        let limit = self.cx.limits.connect_timeout.min(left);
        self.cx.metrics.count(Counter::TargetConnections);
        match TargetConnection::open(address, limit, now).await {
            Ok(conn) => {
                exchange.conn = Some(conn);
                self.step(Event::Connected { reused: false })
            }
            Err(e) => {
                self.trip(!matches!(e, HttpError::Timeout));
                self.failed(Event::Failed(AttemptFailure::Connect)).await
            }
        }
    }

    async fn send(&mut self) -> Action {
        if let Err(kind) = self.dispatch.standing.confirm(self.cx).await {
            return self.step(Event::SendRefused(kind));
        }
        let next = self.step(Event::SendStarted);
        let left = self.dispatch.deadline.left(self.cx.clock.now());
        if let Some(exchange) = &self.exchange {
            let (headers, target) = (&mut self.head.headers, &exchange.picked.name);
            self.cx.heads.address_to_target(headers, target, left);
        }
        self.cx.metrics.count(Counter::Attempts);
        let Some(attempt) = self.attempt() else {
            return self.step(Event::CallerDisconnected);
        };
        match attempt.send().await {
            Ok(None) => next,
            Ok(Some(head)) => self.arrived(head),
            Err(event) => self.failed(event).await,
        }
    }

    async fn await_head(&mut self) -> Action {
        let silence = self.silence_left();
        let Some(attempt) = self.attempt() else {
            return self.step(Event::CallerDisconnected);
        };
        match attempt.await_head(silence).await {
            Ok(head) => self.arrived(head),
            Err(Event::SilenceTimeout) => {
                if let Some(exchange) = &mut self.exchange {
                    exchange.silence_asked = true;
                }
                self.step(Event::SilenceTimeout)
            }
            Err(event) => self.failed(event).await,
        }
    }

    fn attempt(&mut self) -> Option<Attempt<'_>> {
        let exchange = self.exchange.as_mut()?;
        Some(Attempt {
            conn: exchange.conn.as_mut()?,
            caller: &mut *self.caller,
            head: &*self.head,
            body: &mut *self.body,
            limits: &self.cx.limits,
            time_left: self.dispatch.deadline.left(self.cx.clock.now()),
        })
    }

    /// Returns the time until the connection counts as silent, none when nothing follows from it.
    fn silence_left(&self) -> Option<Duration> {
        let exchange = self.exchange.as_ref()?;
        if exchange.silence_asked || !self.machine.would_retry_on_silence() {
            return None;
        }
        let now = self.cx.clock.now();
        let silence = self
            .cx
            .services
            .silence_timeout(self.dispatch.service(), now);
        Some(silence.saturating_sub(now.since(exchange.started)))
    }

    fn ask_budget(&mut self, reason: RetryReason) -> Action {
        let now = self.cx.clock.now();
        let poisoned = self.dispatch.check_poison(self.head, self.body).is_err();
        // A target that could not be connected got nothing of the request.
        let is_free = reason == RetryReason::ConnectFailed;
        let granted = is_free
            || self
                .cx
                .services
                .try_withdraw_retry(self.dispatch.service(), now);
        log_retry(self.dispatch.request_id, reason, granted && !poisoned);
        if poisoned || !granted {
            self.cx.metrics.count_refused_retry(reason);
            return self.step(Event::BudgetRefused);
        }
        self.cx.metrics.count_retry(reason);
        if reason == RetryReason::SilentConnection {
            self.judge_silence();
        }
        self.step(Event::BudgetGranted)
    }

    fn take_answer(&mut self) -> Result<TargetAnswer, DispatchError> {
        let exchange = self
            .exchange
            .take()
            .ok_or(DispatchError::CallerDisconnected)?;
        Ok(TargetAnswer {
            head: self
                .answer
                .take()
                .ok_or(DispatchError::CallerDisconnected)?,
            conn: exchange.conn.ok_or(DispatchError::CallerDisconnected)?,
            picked: exchange.picked,
        })
    }
}
