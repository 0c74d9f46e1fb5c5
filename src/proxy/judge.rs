//! Judging targets by what became of an attempt.

use http::response;

use crate::{
    health::{Observation, WorkResult},
    metrics::Latency,
    poison::Verdict,
    retry::{Action, AttemptFailure, Event},
};

use super::{crash::target_died, dispatch::Run, head_format::ResponseClass};

impl Run<'_> {
    /// Holds work back from the target, at all daemons when the fault is not the path's.
    pub(super) fn trip(&self, tell: bool) {
        let (Some(notifier), Some(exchange)) = (&self.cx.failure_notifier, &self.exchange) else {
            return;
        };
        let age = self.cx.clock.now().since(exchange.started);
        log::info!(request_id = self.dispatch.request_id, target_name = &*exchange.picked.name,
            age_ms = age.as_millis() as u64, told = tell; "target broke off work");
        exchange.picked.trip_breaker();
        if tell {
            notifier.notify_failed(&exchange.picked.name);
        }
    }

    /// Judges the head of an answer.
    pub(super) fn arrived(&mut self, head: response::Parts) -> Action {
        let Some(exchange) = &self.exchange else {
            return self.step(Event::CallerDisconnected);
        };
        let heads = &self.cx.heads;
        exchange.picked.report(heads.target_report(&head.headers));
        match heads.classify(&head, self.dispatch.request_id) {
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
        let now = self.cx.clock.now();
        let latency = now.since(exchange.started);
        self.cx
            .metrics
            .record_latency(Latency::TargetLatencyS, latency);
        let service = self.dispatch.service();
        self.cx.services.record_answer(service, latency, now);
        self.observe(if head.status.is_server_error() {
            WorkResult::ServerError
        } else {
            WorkResult::Success
        });
        self.answer = Some(head);
        self.step(Event::ResponseHead)
    }

    /// Judges an attempt that brought no answer.
    pub(super) async fn failed(&mut self, event: Event) -> Action {
        match event {
            Event::Failed(AttemptFailure::Lost) => return self.lost().await,
            Event::Failed(_) => {
                self.close_unused_since();
                self.observe(WorkResult::Lost);
            }
            Event::DeadlinePassed => self.judge_silence(),
            _ => {}
        }
        self.step(event)
    }

    /// Judges a lost connection; a death of the target is the request's fault first.
    pub(super) async fn lost(&mut self) -> Action {
        let Some(exchange) = &self.exchange else {
            return self.step(Event::CallerDisconnected);
        };
        let picked = &exchange.picked;
        // A kept connection may have met its end by itself, which is no news for the fleet.
        let fresh = exchange.conn.as_ref().is_some_and(|conn| !conn.reused);
        self.trip(fresh);
        if !target_died(self.cx, picked.address).await {
            self.close_unused_since();
            self.observe(WorkResult::Lost);
            return self.step(Event::Failed(AttemptFailure::Lost));
        }
        let fingerprint = self.dispatch.fingerprint(self.head, self.body);
        let verdict = self.cx.poison.record_crash(fingerprint, &picked.name).await;
        self.close_unused_since();
        self.step(Event::Failed(match verdict {
            Verdict::Suspect => AttemptFailure::Lost,
            Verdict::Refused => AttemptFailure::Crashed,
        }))
    }

    /// Holds silence of a kept connection against the connection, and silence of a new one
    /// against the target.
    pub(super) fn judge_silence(&self) {
        self.close_unused_since();
        let conn = self.exchange.as_ref().and_then(|e| e.conn.as_ref());
        if conn.is_some_and(|conn| !conn.reused) {
            self.trip(true);
            self.observe(WorkResult::Timeout);
        }
    }

    /// Closes the target's connections that were not used since the attempt began.
    pub(super) fn close_unused_since(&self) {
        if let Some(exchange) = &self.exchange {
            let address = exchange.picked.address;
            self.cx.pool.close_unused_since(address, exchange.started);
        }
    }

    pub(super) fn observe(&self, result: WorkResult) {
        if let Some(exchange) = &self.exchange {
            let latency = self.cx.clock.now().since(exchange.started);
            exchange.picked.observe(Observation { result, latency });
        }
    }
}
