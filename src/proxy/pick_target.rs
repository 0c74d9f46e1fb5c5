//! Choice of the target of an attempt.

use crate::{
    health::{PickError, ScheduleRequest},
    retry::{Action, Event},
};

use super::{
    access_log::{log_placed, log_queue_rejection, PlacedEntry},
    dispatch::{CurrentAttempt, RequestRun},
    exchange::caller_disconnected,
};

impl RequestRun<'_> {
    /// Picks a target for the next attempt, and waits for one while all are busy.
    pub(super) async fn pick_target(&mut self) -> Action {
        self.attempt = None;
        self.response = None;
        if self.dispatch.deadline.has_passed(self.cx.clock.now()) {
            return self.step(Event::DeadlinePassed);
        }
        let started = self.cx.clock.now();
        let req = self.schedule_request();
        let rank = req.rank;
        let res = monoio::select! {
            res = self.cx.balancer.pick(req) => res,
            () = caller_disconnected(self.caller) => return self.step(Event::CallerDisconnected),
        };
        let picked = match res {
            Ok(picked) => picked,
            Err(PickError::NoTarget) => return self.step(Event::NoTarget),
            Err(PickError::Throttled(wait)) => {
                self.retry_after = Some(wait);
                return self.step(Event::Throttled);
            }
            Err(PickError::Overloaded(rejection)) => {
                log_queue_rejection(self.dispatch.request_id, rank, rejection);
                self.retry_after = Some(rejection.retry_after);
                return self.step(Event::Overloaded);
            }
            Err(PickError::Busy) => return self.step(Event::Overloaded),
        };
        let now = self.cx.clock.now();
        log_placed(&PlacedEntry {
            request_id: self.dispatch.request_id,
            target: &picked.name,
            tried: self.tried.len(),
            waited: now.since(started),
            left: self.dispatch.deadline.left(now),
        });
        self.tried.push(picked.id);
        self.attempt = Some(CurrentAttempt {
            picked,
            conn: None,
            started: self.cx.clock.now(),
            silence_handled: false,
            is_second: false,
        });
        self.step(Event::Picked)
    }

    fn schedule_request(&self) -> ScheduleRequest {
        let identity = self.dispatch.admitted.authorized.identity.as_ref();
        ScheduleRequest {
            service: self.dispatch.service().clone(),
            workspace: self.dispatch.workspace(),
            rate_per_s: identity.map_or(0.0, |i| i.plan.rate_per_s),
            rank: self.dispatch.admitted.authorized.rank,
            resent_early: self.dispatch.resent_early,
            // A request that is not repeatable is never sent to a target on trial.
            repeatable: self.dispatch.repeatable && !self.dispatch.is_rank_rejected(),
            deadline: self.dispatch.deadline.at(),
            avoid: self.tried.clone(),
        }
    }
}
