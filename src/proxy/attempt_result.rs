//! Evaluation of the result of an attempt, and feedback on the target.

use http::response;

use crate::{
    health::{Observation, WorkResult},
    http::response_body_kind,
    metrics::{Counter, Latency},
    poison::Verdict,
    retry::{Action, AttemptFailure, Event},
};

use super::{
    crash_detection::target_crashed,
    dispatch::{RequestRun, StartedResponse},
    head_format::ResponseClass,
};

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

    /// Handles a response head, and receives the beginning of the body of an answer.
    pub(super) async fn on_response_head(&mut self, head: response::Parts) -> Action {
        let Some(attempt) = &self.attempt else {
            return self.step(Event::CallerDisconnected);
        };
        let heads = &self.cx.heads;
        let reused = attempt.conn.as_ref().is_none_or(|conn| conn.reused);
        let class = heads.classify(&head, self.dispatch.request_id, reused);
        let mut load = None;
        if class != ResponseClass::WrongTarget {
            let report = heads.target_report(head.status, &head.headers);
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
                return self.step(Event::Failed(AttemptFailure::Shed));
            }
            ResponseClass::WrongTarget => return self.step(Event::Failed(AttemptFailure::Shed)),
            ResponseClass::Invalid => {
                self.observe(WorkResult::Lost);
                return self.step(Event::Failed(AttemptFailure::Malformed));
            }
        }
        let Ok(kind) = response_body_kind(&self.head.method, &head) else {
            self.observe(WorkResult::Lost);
            return self.step(Event::Failed(AttemptFailure::Malformed));
        };
        let (started, now) = (attempt.started, self.cx.clock.now());
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
        self.observe(if head.status.is_server_error() {
            WorkResult::ServerError
        } else {
            WorkResult::Success
        });
        self.response = Some(StartedResponse { head, kind, body });
        self.step(Event::ResponseHead)
    }

    /// Handles an attempt that ended without a response.
    pub(super) async fn on_attempt_ended(&mut self, event: Event) -> Action {
        match event {
            Event::Failed(AttemptFailure::Lost) => return self.on_connection_lost().await,
            Event::Failed(_) => {
                self.close_unused_connections();
                self.observe(WorkResult::Lost);
            }
            Event::DeadlinePassed => self.on_silence(),
            Event::UploadRefused(reason) => {
                log::info!(request_id = self.dispatch.request_id, reason:? = reason;
                    "upload refused midway");
            }
            _ => {}
        }
        self.step(event)
    }

    /// Handles a lost connection, which trips the circuit breaker whether or not the target crashed.
    /// A crash is attributed to the request first: it is recorded for the fingerprint of the
    /// request, and not observed as a failure of the target.
    pub(super) async fn on_connection_lost(&mut self) -> Action {
        let Some(attempt) = &self.attempt else {
            return self.step(Event::CallerDisconnected);
        };
        let picked = &attempt.picked;
        // A pooled connection may have been closed for being idle, so its loss is not reported to
        // the rest of the fleet.
        let is_new = attempt.conn.as_ref().is_some_and(|conn| !conn.reused);
        self.trip_breaker(is_new);
        if !target_crashed(self.cx, picked.address).await {
            self.close_unused_connections();
            self.observe(WorkResult::Lost);
            return self.step(Event::Failed(AttemptFailure::Lost));
        }
        let fingerprint = self.dispatch.fingerprint(self.head, self.body);
        let poison = &self.cx.poison;
        let verdict = poison
            .record_crash(fingerprint, &picked.name, attempt.started)
            .await;
        self.close_unused_connections();
        self.step(Event::Failed(match verdict {
            Verdict::Suspect | Verdict::Cleared => AttemptFailure::Lost,
            Verdict::Refused => AttemptFailure::Crashed,
        }))
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
