//! Evaluation of the result of an attempt, and feedback on the target.

use http::{response, StatusCode};

use crate::{
    health::{Observation, WorkResult},
    http::{response_body_kind, BodyKind},
    metrics::{Counter, Latency},
    poison::Verdict,
    retry::{Action, AttemptFailure, Event},
};

use super::{
    crash_detection::target_crashed,
    dispatch::{RequestRun, StartedResponse},
    head_format::ResponseClass,
};

/// What the head of an answer states.
struct AnswerHead {
    /// Framing of the body.
    kind: BodyKind,
    /// Load of the target, as a share of its slots, if it states one.
    load: Option<f64>,
}

impl RequestRun<'_> {
    /// Opens the circuit breaker of the target; with `notify_fleet`, at all daemons, which is for
    /// faults of the target rather than of the network path to it. Does nothing without a failure
    /// notifier.
    pub(super) fn trip_breaker(&self, notify_fleet: bool) {
        let (Some(notifier), Some(attempt)) = (&self.cx.failure_notifier, &self.attempt) else {
            return;
        };
        let age = self.cx.clock.now().since(attempt.started);
        log::info!(request_id = self.dispatch.request_id, target_name = &*attempt.picked.name,
            age_ms = age.as_millis() as u64, told = notify_fleet;
            "target failed; opening its circuit breaker");
        attempt.picked.trip_breaker();
        if notify_fleet {
            notifier.notify_failed(&attempt.picked.name);
        }
    }

    /// Classifies a response head, and reports it to the balancer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed if the response is not an answer.
    fn assess_head(&self, head: &response::Parts) -> Result<AnswerHead, AttemptFailure> {
        let Some(attempt) = &self.attempt else {
            return Err(AttemptFailure::Lost);
        };
        let reused = attempt.conn.as_ref().is_none_or(|conn| conn.reused);
        let class = self.classify(head, reused);
        let mut load = None;
        if class != ResponseClass::WrongTarget {
            let report = self.cx.heads.target_report(head.status, &head.headers);
            let is_answer = class == ResponseClass::Answer;
            attempt.picked.report(report, is_answer);
            load = report.load;
            if report.unusable > 0 {
                let n = u64::from(report.unusable);
                self.cx.metrics.add(Counter::TargetHeadersUnusable, n);
                log::info!(request_id = self.dispatch.request_id,
                    target_name = &*attempt.picked.name, headers = n; "unusable target headers");
            }
            if report.leaving {
                let (address, now) = (attempt.picked.address, self.cx.clock.now());
                self.cx.pool.close_unused_since(address, now);
            }
        }
        match class {
            ResponseClass::Answer => {}
            ResponseClass::NotRun => {
                self.observe(WorkResult::Shed);
                return Err(AttemptFailure::Shed);
            }
            ResponseClass::WrongTarget => return Err(AttemptFailure::Shed),
            ResponseClass::Invalid => {
                self.observe(WorkResult::Lost);
                return Err(AttemptFailure::Malformed);
            }
        }
        match response_body_kind(&self.head.method, head) {
            Ok(kind) => Ok(AnswerHead { kind, load }),
            Err(_) => {
                self.observe(WorkResult::Lost);
                Err(AttemptFailure::Malformed)
            }
        }
    }

    fn classify(&self, head: &response::Parts, reused: bool) -> ResponseClass {
        let heads = &self.cx.heads;
        heads.classify(head, self.dispatch.request_id, reused)
    }

    /// Returns whether the head is that of an answer that is not an error of the target; `reused` is
    /// whether its connection carried a request before.
    pub(super) fn is_good(&self, head: &response::Parts, reused: bool) -> bool {
        !head.status.is_server_error() && self.classify(head, reused) == ResponseClass::Answer
    }

    /// Returns whether the head, received by the current attempt, is that of an answer.
    pub(super) fn is_answer(&self, head: &response::Parts) -> bool {
        let conn = self.attempt.as_ref().and_then(|a| a.conn.as_ref());
        let reused = conn.is_none_or(|conn| conn.reused);
        self.classify(head, reused) == ResponseClass::Answer
    }

    /// Handles a response head, and receives the beginning of the body of an answer.
    pub(super) async fn on_response_head(&mut self, head: response::Parts) -> Action {
        let Some((started, is_second)) = self.attempt.as_ref().map(|a| (a.started, a.is_second))
        else {
            return self.step(Event::CallerDisconnected);
        };
        let AnswerHead { kind, load } = match self.assess_head(&head) {
            Ok(answer) => answer,
            Err(failure) => return self.step(Event::Failed(failure)),
        };
        if self.is_ambiguous(head.status) {
            log::info!(request_id = self.dispatch.request_id, status = head.status.as_u16();
                "target refused a request that it may have run");
            self.observe(WorkResult::ServerError);
            return self.step(Event::Failed(AttemptFailure::Ambiguous));
        }
        let now = self.cx.clock.now();
        let Some(exchange) = self.exchange() else {
            return self.step(Event::CallerDisconnected);
        };
        let body = match exchange.receive_beginning(kind).await {
            Ok(body) => body,
            Err(event) => return self.on_attempt_ended(event).await,
        };
        let latency = now.since(started);
        self.cx
            .metrics
            .record_latency(Latency::TargetLatencyS, latency);
        let service = self.dispatch.service();
        self.cx.retry_states.record_answer(service, latency, now);
        if let Some(admission) = &self.cx.admission {
            admission.record_answer(service, latency, load);
        }
        if !is_second {
            self.record_first_latency(latency);
        }
        self.observe_answer(&head);
        let event = self.answer_event(head.status);
        self.response = Some(StartedResponse { head, kind, body });
        self.step(event)
    }

    /// Returns whether an answer with this status, which does not state that the request was not
    /// run, would make the caller believe so. The caller of a request that must run at most once
    /// would send it again.
    fn is_ambiguous(&self, status: StatusCode) -> bool {
        !self.dispatch.repeatable && self.cx.heads.implies_not_run(status)
    }

    /// Returns the event of an answer with this status. A target that ran out of time left none for
    /// another attempt.
    fn answer_event(&self, status: StatusCode) -> Event {
        let is_error = status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT;
        if is_error && self.cx.retry_error_answers {
            Event::ErrorAnswer
        } else {
            Event::ResponseHead
        }
    }

    fn observe_answer(&self, head: &response::Parts) {
        self.observe(if head.status.is_server_error() {
            WorkResult::ServerError
        } else {
            WorkResult::Success
        });
    }

    /// Records that the current attempt ended with `result` while the other one is in progress.
    /// Returns how it failed; `None` if it was answered with an error of the target, or if its time
    /// ran out.
    pub(super) async fn record_one_ended(
        &mut self,
        result: Result<response::Parts, Event>,
    ) -> Option<AttemptFailure> {
        let failure = match result {
            Ok(head) => match self.assess_head(&head) {
                Ok(_) => {
                    self.observe_answer(&head);
                    return None;
                }
                Err(failure) => failure,
            },
            Err(Event::Failed(AttemptFailure::Lost)) => self.record_lost().await,
            Err(Event::Failed(failure)) => {
                self.close_unused_connections();
                self.observe(WorkResult::Lost);
                failure
            }
            Err(_) => return None,
        };
        self.step(Event::OneFailed(failure));
        Some(failure)
    }

    /// Handles an attempt that ended without a response.
    pub(super) async fn on_attempt_ended(&mut self, event: Event) -> Action {
        match event {
            Event::Failed(AttemptFailure::Lost) => {
                let failure = self.record_lost().await;
                return self.step(Event::Failed(failure));
            }
            Event::Failed(_) => {
                self.close_unused_connections();
                self.observe(WorkResult::Lost);
            }
            Event::DeadlinePassed => {
                self.record_cancelled_first();
                self.on_silence();
            }
            Event::UploadRefused(reason) => {
                log::info!(request_id = self.dispatch.request_id, reason:? = reason;
                    "upload refused midway");
            }
            _ => {}
        }
        self.step(event)
    }

    /// Records a lost connection, which trips the circuit breaker whether or not the target crashed,
    /// and returns how the attempt failed. A crash is attributed to the request first: it is recorded
    /// for the fingerprint of the request, and not observed as a failure of the target.
    async fn record_lost(&self) -> AttemptFailure {
        let Some(attempt) = &self.attempt else {
            return AttemptFailure::Lost;
        };
        let picked = &attempt.picked;
        // A pooled connection may have been closed for being idle, so its loss is not reported to
        // the rest of the fleet.
        let is_new = attempt.conn.as_ref().is_some_and(|conn| !conn.reused);
        self.trip_breaker(is_new);
        if !target_crashed(self.cx, picked.address).await {
            self.close_unused_connections();
            self.observe(WorkResult::Lost);
            return AttemptFailure::Lost;
        }
        let fingerprint = self.dispatch.fingerprint(self.head, self.body);
        let poison = &self.cx.poison;
        let verdict = poison
            .record_crash(fingerprint, &picked.name, attempt.started)
            .await;
        self.close_unused_connections();
        match verdict {
            Verdict::HeldBack | Verdict::Refused => AttemptFailure::Crashed,
            Verdict::Suspect | Verdict::Tested | Verdict::Cleared => AttemptFailure::Lost,
        }
    }

    /// Handles silence during an attempt: on a pooled connection it is attributed to the
    /// connection, on a new one to the target.
    pub(super) fn on_silence(&self) {
        self.close_unused_connections();
        let conn = self.attempt.as_ref().and_then(|a| a.conn.as_ref());
        if conn.is_some_and(|conn| !conn.reused) {
            self.trip_breaker(true);
            self.observe(WorkResult::Timeout);
        }
    }

    /// Closes the pooled connections to the target that have not been used since the attempt began.
    fn close_unused_connections(&self) {
        if let Some(attempt) = &self.attempt {
            let address = attempt.picked.address;
            self.cx.pool.close_unused_since(address, attempt.started);
        }
    }

    /// Reports the result of the attempt to the balancer.
    pub(super) fn observe(&self, result: WorkResult) {
        if let Some(attempt) = &self.attempt {
            let latency = self.cx.clock.now().since(attempt.started);
            attempt.picked.observe(Observation { result, latency });
        }
    }
}
