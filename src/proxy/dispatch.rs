//! Sending an admitted request to targets until one answers.

use std::{rc::Rc, time::Duration};

use http::{request, response, HeaderValue};

use crate::{
    health::{Observation, PickError, PickOrder, Picked, TargetId, WorkResult},
    http::HttpReader,
    metrics::Counter,
    outcome::ErrorKind,
    pool::TargetConnection,
    retry::{next_step, AttemptContext, AttemptEnd, AttemptFailure, NextStep},
};

use super::{
    attempt::{Attempt, AttemptError},
    deadline::Deadline,
    headers::{is_shed, target_load, target_state, DEADLINE_MS},
    request_body::RequestBody,
    ProxyContext,
};

/// Most attempts for one request.
const MAX_ATTEMPTS: u32 = 3;

/// A request that may be sent to targets.
pub(super) struct Dispatch<'a> {
    /// What all connections share.
    pub(super) cx: &'a ProxyContext,
    /// Service that serves the request.
    pub(super) service: &'a Rc<str>,
    /// Workspace of the request.
    pub(super) workspace: &'a Rc<str>,
    /// Rate of the workspace's plan, 1/s.
    pub(super) rate_per_s: f64,
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
    pub(super) picked: Picked,
}

/// Why no target answered.
pub(super) enum DispatchError {
    /// The caller is told of this kind.
    Failed(ErrorKind),
    /// The caller went away.
    CallerGone,
}

impl Dispatch<'_> {
    /// Sends the request to targets until one answers.
    pub(super) async fn run(
        &self,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> Result<TargetAnswer, DispatchError> {
        let mut tried: Vec<TargetId> = Vec::new();
        let mut may_have_run = false;
        loop {
            let picked = match self.cx.balancer.pick(self.order(&tried)).await {
                Ok(picked) => picked,
                Err(e) => return Err(DispatchError::Failed(no_target(e, may_have_run))),
            };
            tried.push(picked.id);
            let end = match self.attempt(&picked, head, body, caller).await {
                Ok((head, conn)) => return Ok(TargetAnswer { head, conn, picked }),
                Err(AttemptError::CallerGone) => return Err(DispatchError::CallerGone),
                Err(AttemptError::Target(end)) => end,
            };
            let cx = AttemptContext {
                repeatable: self.repeatable,
                replayable: body.is_replayable(),
                attempts: tried.len() as u32,
                max_attempts: MAX_ATTEMPTS,
                deadline_passed: self.deadline.has_passed(self.cx.clock.now()),
                may_have_run,
            };
            may_have_run |= crate::retry::may_have_run(&end);
            match next_step(&cx, &end) {
                NextStep::Retry(reason) => self.cx.metrics.count_retry(reason),
                NextStep::Tell(kind) => return Err(DispatchError::Failed(kind)),
            }
        }
    }

    fn order(&self, tried: &[TargetId]) -> PickOrder {
        PickOrder {
            service: self.service.clone(),
            workspace: self.workspace.clone(),
            rate_per_s: self.rate_per_s,
            repeatable: self.repeatable,
            deadline: self.deadline.at(),
            avoid: tried.to_vec(),
        }
    }

    async fn attempt(
        &self,
        picked: &Picked,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> Result<(response::Parts, TargetConnection), AttemptError> {
        let started = self.cx.clock.now();
        let mut conn = match self.connect(picked).await {
            Ok(conn) => conn,
            Err(end) => {
                self.observe(picked, WorkResult::Lost, started);
                return Err(AttemptError::Target(end));
            }
        };
        let time_left = self.deadline.left(self.cx.clock.now());
        head.headers
            .insert(DEADLINE_MS, HeaderValue::from(time_left.as_millis() as u64));
        self.cx.metrics.count(Counter::Attempts);
        let attempt = Attempt {
            conn: &mut conn,
            caller,
            head,
            body,
            limits: &self.cx.limits,
            time_left,
        };
        match attempt.run().await {
            Ok(answer) => self.judge_answer(picked, answer, conn, started),
            Err(AttemptError::CallerGone) => Err(AttemptError::CallerGone),
            Err(AttemptError::Target(end)) => {
                self.judge_failure(picked, &conn, &end, started);
                Err(AttemptError::Target(end))
            }
        }
    }

    async fn connect(&self, picked: &Picked) -> Result<TargetConnection, AttemptEnd> {
        if self.repeatable {
            if let Some(mut conn) = self.cx.pool.take(picked.address).await {
                conn.reused = true;
                return Ok(conn);
            }
        }
        let now = self.cx.clock.now();
        let limit = self.cx.limits.connect_timeout.min(self.deadline.left(now));
        self.cx.metrics.count(Counter::TargetConnections);
        let opened = TargetConnection::open(picked.address, limit, now).await;
        opened.map_err(|_| AttemptEnd {
            failure: AttemptFailure::Connect,
            written: false,
        })
    }

    fn judge_answer(
        &self,
        picked: &Picked,
        answer: response::Parts,
        conn: TargetConnection,
        started: crate::clock::BootTime,
    ) -> Result<(response::Parts, TargetConnection), AttemptError> {
        if let Some(state) = target_state(&answer.headers) {
            picked.report_state(state, target_load(&answer));
        }
        if is_shed(&answer) {
            self.observe(picked, WorkResult::Shed, started);
            return Err(AttemptError::Target(AttemptEnd {
                failure: AttemptFailure::Shed,
                written: true,
            }));
        }
        let failed = answer.status.is_server_error();
        let result = if failed {
            WorkResult::ServerError
        } else {
            WorkResult::Success
        };
        self.observe(picked, result, started);
        Ok((answer, conn))
    }

    fn judge_failure(
        &self,
        picked: &Picked,
        conn: &TargetConnection,
        end: &AttemptEnd,
        started: crate::clock::BootTime,
    ) {
        self.cx.pool.drop_older(conn.address, conn.opened);
        let result = match end.failure {
            AttemptFailure::Timeout => WorkResult::Timeout,
            _ => WorkResult::Lost,
        };
        self.observe(picked, result, started);
    }

    fn observe(&self, picked: &Picked, result: WorkResult, started: crate::clock::BootTime) {
        let latency: Duration = self.cx.clock.now().since(started);
        picked.observe(Observation { result, latency });
    }
}

fn no_target(e: PickError, may_have_run: bool) -> ErrorKind {
    if may_have_run {
        return ErrorKind::TargetLost;
    }
    match e {
        PickError::NoTarget => ErrorKind::NoTarget,
        PickError::Busy | PickError::Overloaded => ErrorKind::Overloaded,
    }
}
