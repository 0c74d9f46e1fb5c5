//! The second attempt of a hedged request, beside the first one.

use std::{future::Future, rc::Rc, time::Duration};

use http::{response, Method};

use crate::{
    health::TargetId,
    metrics::Counter,
    pool::{TargetConnection, MAX_RECENT_IDLE},
    retry::{
        Action, Attempt, AttemptFailure, Event, Hedge, HedgeAction, HedgeConditions, HedgeEvent,
        HedgePolicy, HedgeRefusal,
    },
};

use super::{
    access_log::{log_hedge_ended, log_hedge_refused, log_hedged},
    dispatch::{CurrentAttempt, Dispatch, RequestRun},
    exchange::{encode, read_final_head},
};

/// The result of an attempt: its response head, or the event that ended it.
type HeadResult = Result<response::Parts, Event>;

/// What ended first.
enum Ended<T> {
    /// The current attempt, the request of the caller, or its time.
    Current(HeadResult),
    /// What was done beside it.
    Beside(T),
}

impl Dispatch<'_> {
    /// Returns whether admission accepts hedged requests of this rank.
    fn admits_hedge(&self) -> bool {
        !self.is_rank_rejected()
    }
}

impl RequestRun<'_> {
    fn hedge_policy(&self) -> HedgePolicy {
        HedgePolicy {
            repeatable: self.dispatch.repeatable,
            is_get: self.head.method == Method::GET,
            replayable: self.body.is_replayable(),
        }
    }

    /// Returns the decision on a second attempt and its delay if the current attempt, whose response
    /// head is awaited, may be hedged.
    pub(super) fn hedge(&self) -> Option<(Hedge, Duration)> {
        if !self.may_hedge || self.machine.would_retry_on_silence() {
            return None;
        }
        let route = &self.dispatch.admitted.authorized.route;
        let delay = self.cx.hedging.delay(self.dispatch.service(), route)?;
        Some((Hedge::new(&self.hedge_policy())?, delay))
    }

    /// Records the latency of an attempt that is not a second one.
    pub(super) fn record_first_latency(&self, latency: Duration) {
        if self.hedge_policy().allows_hedging() {
            let (service, now) = (self.dispatch.service(), self.cx.clock.now());
            let route = &self.dispatch.admitted.authorized.route;
            let hedging = &self.cx.hedging;
            hedging.record_latency(service, route, latency, now);
        }
    }

    /// Records the time after which the current attempt is given up, if it is not a second one. It
    /// would have taken longer; leaving it out would lower the delay of the next requests.
    pub(super) fn record_cancelled_first(&self) {
        if let Some(attempt) = self.attempt.as_ref().filter(|a| !a.is_second) {
            self.record_first_latency(self.cx.clock.now().since(attempt.started));
        }
    }

    /// Waits for the response head, and sends a second attempt if the delay passes before.
    pub(super) async fn await_hedged(&mut self, mut hedge: Hedge, delay: Duration) -> Action {
        self.may_hedge = false;
        let Some(started) = self.attempt.as_ref().map(|a| a.started) else {
            return self.step(Event::CallerDisconnected);
        };
        let left = delay.saturating_sub(self.cx.clock.now().since(started));
        let ended = self.beside_current(monoio::time::sleep(left)).await;
        let is_late = match &ended {
            Ended::Beside(()) | Ended::Current(Err(Event::DeadlinePassed)) => Some(true),
            Ended::Current(Err(Event::CallerDisconnected)) => None,
            Ended::Current(_) => Some(false),
        };
        if let Some(is_late) = is_late {
            let service = self.dispatch.service();
            let hedging = &self.cx.hedging;
            hedging.with_state(service, |state| state.record_late(is_late));
        }
        if let Ended::Current(result) = ended {
            return self.on_head_result(result).await;
        }
        let conditions = self.hedge_conditions();
        match hedge.step(HedgeEvent::DelayPassed(conditions)) {
            Some(HedgeAction::PickSecond) => self.start_second(hedge).await,
            _ => self.await_first_alone(conditions.refusal()),
        }
    }

    /// Waits for the response head of the current attempt, a disconnect of the caller or the
    /// deadline, and for `other`, until one of them ends.
    async fn beside_current<T>(&mut self, other: impl Future<Output = T>) -> Ended<T> {
        let Some(exchange) = self.exchange() else {
            return Ended::Current(Err(Event::CallerDisconnected));
        };
        monoio::select! {
            result = exchange.await_head(None) => Ended::Current(result),
            output = other => Ended::Beside(output),
        }
    }

    async fn on_head_result(&mut self, result: HeadResult) -> Action {
        match result {
            Ok(head) => self.on_response_head(head).await,
            Err(event) => self.on_attempt_ended(event).await,
        }
    }

    fn hedge_conditions(&self) -> HedgeConditions {
        let (service, now) = (self.dispatch.service(), self.cx.clock.now());
        let route = &*self.dispatch.admitted.authorized.route;
        let state = self.cx.hedging.with_state(service, |state| {
            let usual_latency = state.usual_latency(route);
            (state.is_slow(route), usual_latency, state.has_room(now))
        });
        let (is_service_slow, usual_latency, has_room) =
            state.unwrap_or((true, Duration::ZERO, false));
        HedgeConditions {
            has_attempt_left: self.machine.has_attempt_left(),
            is_admitted: self.dispatch.admits_hedge(),
            is_service_slow,
            time_left: self.dispatch.deadline.left(now),
            usual_latency,
            is_budget_low: self.cx.retry_states.is_budget_low(service, now),
            has_room,
        }
    }

    /// Continues with the first attempt; no second one is sent.
    fn await_first_alone(&self, reason: Option<HedgeRefusal>) -> Action {
        self.cx.metrics.count(Counter::HedgesRefused);
        if let Some(reason) = reason {
            log_hedge_refused(self.dispatch.request_id, reason);
        }
        Action::AwaitHead
    }

    /// Picks a target for the second attempt, connects to it, and sends the request there.
    async fn start_second(&mut self, mut hedge: Hedge) -> Action {
        let Some(first) = self.attempt.as_ref().map(|a| a.picked.id) else {
            return self.step(Event::CallerDisconnected);
        };
        let (dispatch, service) = (self.dispatch, self.dispatch.service().clone());
        let preparing = prepare_second(dispatch, service, first);
        let prepared = match self.beside_current(preparing).await {
            Ended::Current(result) => return self.on_head_result(result).await,
            Ended::Beside(prepared) => prepared,
        };
        let prepared = prepared.filter(|second| self.may_send(second));
        let taken = prepared.ok_or(HedgeRefusal::NoTarget);
        let taken = taken.and_then(|second| self.take_tokens().map(|()| second));
        let event = match &taken {
            Ok(_) => HedgeEvent::Picked,
            Err(reason) => HedgeEvent::Refused(*reason),
        };
        match (hedge.step(event), taken) {
            (Some(HedgeAction::SendSecond), Ok(second)) => self.send_second(hedge, second).await,
            (_, taken) => self.await_first_alone(taken.err()),
        }
    }

    /// Returns whether the request may still be sent to the target of `second`.
    fn may_send(&self, second: &CurrentAttempt) -> bool {
        let now = self.cx.clock.now();
        let authorized = self.dispatch.admitted.authorized;
        let is_allowed = self.cx.policy.reauthorize(authorized, now).is_ok();
        let is_poison = self.dispatch.check_poison(self.head, self.body).is_err();
        is_allowed && !is_poison && !second.picked.is_withdrawn(now)
    }

    /// Takes the second attempt from the limit on hedged requests and from the retry budget, which
    /// may have changed since the delay passed.
    fn take_tokens(&self) -> Result<(), HedgeRefusal> {
        let (service, now) = (self.dispatch.service(), self.cx.clock.now());
        if self.cx.retry_states.is_budget_low(service, now) {
            return Err(HedgeRefusal::BudgetLow);
        }
        let taken = self.cx.hedging.with_state(service, |s| s.try_take(now));
        if taken != Some(true) {
            return Err(HedgeRefusal::LimitReached);
        }
        if !self.cx.retry_states.try_withdraw_retry(service, now) {
            return Err(HedgeRefusal::BudgetLow);
        }
        Ok(())
    }

    /// Sends the second attempt, and waits for the first good response to either attempt.
    async fn send_second(&mut self, mut hedge: Hedge, mut second: CurrentAttempt) -> Action {
        self.step(Event::HedgeStarted);
        self.tried.push(second.picked.id);
        self.cx.metrics.count(Counter::Attempts);
        self.cx.metrics.count(Counter::HedgesSent);
        let now = self.cx.clock.now();
        let after = self.attempt.as_ref().map(|a| now.since(a.started));
        let name = second.picked.name.clone();
        log_hedged(self.dispatch.request_id, &name, after.unwrap_or_default());
        let left = self.dispatch.deadline.left(now);
        let headers = &mut self.head.headers;
        self.cx.heads.address_to_target(headers, &name, left);
        let request = encode(self.head, self.body);
        let limits = self.exchange().map(|e| e.response_head_limits());
        let (Some(limits), Some(conn)) = (limits, &mut second.conn) else {
            return self.step(Event::CallerDisconnected);
        };
        let lost = |_| Event::Failed(AttemptFailure::Lost);
        let ended = match self.beside_current(conn.writer.write(request)).await {
            // A request that may not have been sent whole gets no response.
            Ended::Current(result) => return self.on_head_result(result).await,
            Ended::Beside(Err(e)) => Ended::Beside(Err(lost(e))),
            Ended::Beside(Ok(())) => {
                let reading = read_final_head(&mut conn.reader, &limits);
                self.beside_current(reading).await
            }
        };
        let (attempt, result) = match ended {
            Ended::Current(result) => (Attempt::First, result),
            Ended::Beside(result) => (Attempt::Second, result),
        };
        let event = self.hedge_event(attempt, &result, &second);
        match hedge.step(event) {
            Some(HedgeAction::Use(Attempt::Second)) => self.use_second(second, result).await,
            Some(HedgeAction::Await(Attempt::First)) => self.await_first(second, result).await,
            Some(HedgeAction::Await(Attempt::Second)) => self.await_second(second, result).await,
            _ => {
                if attempt == Attempt::First && result.is_ok() {
                    log_hedge_ended(self.dispatch.request_id, Attempt::First, false);
                }
                drop(second);
                self.on_head_result(result).await
            }
        }
    }

    fn hedge_event(
        &self,
        attempt: Attempt,
        result: &HeadResult,
        second: &CurrentAttempt,
    ) -> HedgeEvent {
        let run = match attempt {
            Attempt::First => self.attempt.as_ref(),
            Attempt::Second => Some(second),
        };
        let conn = run.and_then(|a| a.conn.as_ref());
        let reused = conn.is_none_or(|conn| conn.reused);
        match (attempt, result) {
            (_, Ok(head)) if self.is_good(head, reused) => HedgeEvent::Answered(attempt),
            (Attempt::First, Err(Event::CallerDisconnected)) => HedgeEvent::CallerDisconnected,
            (Attempt::First, Err(Event::DeadlinePassed)) => HedgeEvent::DeadlinePassed,
            _ => HedgeEvent::Failed(attempt),
        }
    }

    /// Uses the response to the second attempt, and cancels the first one.
    async fn use_second(&mut self, second: CurrentAttempt, result: HeadResult) -> Action {
        self.cx.metrics.count(Counter::HedgesWon);
        log_hedge_ended(self.dispatch.request_id, Attempt::Second, false);
        self.record_cancelled_first();
        self.take_over(second);
        self.on_head_result(result).await
    }

    /// Makes the second attempt the current one, and closes the connection of the former.
    fn take_over(&mut self, second: CurrentAttempt) -> Action {
        let reused = second.conn.as_ref().is_some_and(|conn| conn.reused);
        self.attempt = Some(second);
        self.step(Event::HedgeTookOver { reused })
    }

    /// Continues with the first attempt after the second one has failed.
    async fn await_first(&mut self, second: CurrentAttempt, result: HeadResult) -> Action {
        self.cx.metrics.count(Counter::HedgesFailed);
        log_hedge_ended(self.dispatch.request_id, Attempt::First, true);
        let first = self.attempt.replace(second);
        self.record_one_ended(result).await;
        self.attempt = first;
        Action::AwaitHead
    }

    /// Continues with the second attempt after the first one has failed.
    async fn await_second(&mut self, second: CurrentAttempt, result: HeadResult) -> Action {
        log_hedge_ended(self.dispatch.request_id, Attempt::Second, true);
        match result {
            Ok(head) if head.status.is_server_error() && self.is_answer(&head) => {
                self.await_better_response(second, head).await
            }
            result => {
                if self.record_one_ended(result).await == Some(AttemptFailure::Crashed) {
                    return self.step(Event::Failed(AttemptFailure::Crashed));
                }
                self.take_over(second)
            }
        }
    }

    /// Waits for the second attempt after the target of the first one answered with an error, which
    /// is used if no better response arrives within another delay.
    async fn await_better_response(
        &mut self,
        second: CurrentAttempt,
        first_head: response::Parts,
    ) -> Action {
        let (service, first) = (self.dispatch.service(), self.attempt.replace(second));
        let route = &self.dispatch.admitted.authorized.route;
        let delay = self.cx.hedging.delay(service, route).unwrap_or_default();
        let result = match self.beside_current(monoio::time::sleep(delay)).await {
            Ended::Current(Err(Event::CallerDisconnected)) => {
                return self.step(Event::CallerDisconnected)
            }
            Ended::Current(result) => result,
            Ended::Beside(()) => Err(Event::SilenceTimeout),
        };
        let second = std::mem::replace(&mut self.attempt, first);
        let reused = second.as_ref().and_then(|a| a.conn.as_ref());
        let reused = reused.is_none_or(|conn| conn.reused);
        match (result, second) {
            (Ok(head), Some(second)) if self.is_good(&head, reused) => {
                self.record_one_ended(Ok(first_head)).await;
                self.use_second(second, Ok(head)).await
            }
            (result, second) => {
                self.cx.metrics.count(Counter::HedgesFailed);
                let first = std::mem::replace(&mut self.attempt, second);
                self.record_one_ended(result).await;
                self.attempt = first;
                self.on_response_head(first_head).await
            }
        }
    }
}

/// Picks a target for the second attempt and connects to it; returns `None` if there is none that
/// has spare capacity and can be reached.
async fn prepare_second(
    dispatch: &Dispatch<'_>,
    service: Rc<str>,
    first: TargetId,
) -> Option<CurrentAttempt> {
    let cx = dispatch.cx;
    let picked = cx.balancer.balancer.pick_hedge(service, first).await?;
    let started = cx.clock.now();
    let conn = match cx.pool.take(picked.address, MAX_RECENT_IDLE).await {
        Some(mut conn) => {
            conn.reused = true;
            conn
        }
        None => {
            let left = dispatch.deadline.left(started);
            let limit = cx.limits.connect_timeout.min(left);
            cx.metrics.count(Counter::TargetConnections);
            let opening = TargetConnection::open(picked.address, limit, started);
            opening.await.ok()?
        }
    };
    Some(CurrentAttempt {
        picked,
        conn: Some(conn),
        started,
        silence_handled: false,
        is_second: true,
    })
}
