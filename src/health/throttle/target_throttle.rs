//! The decision whether this daemon may send a target a request now.

use std::time::Duration;

use crate::clock::BootTime;

use super::{named_limit::NamedLimit, FleetShare, LimitNews};

/// Longest pause that a target may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// What one target asked of its callers.
#[derive(Debug, Clone, Default)]
pub struct TargetThrottle {
    limit: Option<NamedLimit>,
    leaving: bool,
    paused_until: Option<BootTime>,
}

impl TargetThrottle {
    /// Returns the limit in force on the requests of the whole fleet, in requests per second.
    pub fn limit_per_s(&self, now: BootTime) -> Option<f64> {
        self.limit_in_force(now).map(|limit| limit.limit_per_s)
    }

    /// Returns whether the target leaves for good.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Records that the target leaves for good; returns whether this is news.
    pub fn record_leaving(&mut self) -> bool {
        !std::mem::replace(&mut self.leaving, true)
    }

    /// Records that the target wants no requests of this daemon for `pause`, which is bounded.
    pub fn record_pause(&mut self, pause: Duration, now: BootTime) {
        let until = now + pause.min(MAX_PAUSE);
        self.paused_until = self.paused_until.max(Some(until));
    }

    /// Returns the time until this daemon may send the target a request; zero if it may now.
    pub fn wait(&self, now: BootTime) -> Duration {
        let limit = self.limit_in_force(now);
        let limited = limit.map_or(Duration::ZERO, |limit| limit.wait(now));
        let paused = self.paused_until.map(|until| until.since(now));
        paused.unwrap_or_default().max(limited)
    }

    /// Returns the limit, if the limit alone keeps this daemon from sending a request now.
    pub fn borrowable_limit(&self, now: BootTime) -> Option<f64> {
        let paused = self.paused_until.is_some_and(|until| until > now);
        let limit = self.limit_in_force(now)?;
        let is_held_back = !paused && !self.leaving && !limit.wait(now).is_zero();
        is_held_back.then_some(limit.limit_per_s)
    }

    /// Takes a token for a request of another daemon; returns whether there was one.
    pub fn lend(&mut self, now: BootTime) -> bool {
        let limit = self.limit.as_mut().filter(|limit| !limit.is_expired(now));
        limit.is_some_and(|limit| limit.lend(now))
    }

    /// Records that a request is sent to the target.
    pub fn record_sent(&mut self, now: BootTime) {
        if let Some(limit) = &mut self.limit {
            limit.record_sent(now);
        }
    }

    /// Records a response of the target that names `limit_per_s`; returns what the fleet should be
    /// told. `level`, from 0 to 1, spreads the first requests of the selected daemons.
    pub fn record_named(
        &mut self,
        limit_per_s: f64,
        share: FleetShare,
        level: f64,
        now: BootTime,
    ) -> Option<LimitNews> {
        let former = self.limit_per_s(now);
        let limit = self.set_limit(limit_per_s, share, level, now);
        limit.record_named_here(now);
        if former.is_some_and(|former| !limit.is_news(former, now)) {
            return None;
        }
        limit.record_told(now);
        Some(LimitNews::Named(limit_per_s))
    }

    /// Records an answer of the target that names no limit; returns what the fleet should be told.
    pub fn record_unnamed(&mut self, now: BootTime) -> Option<LimitNews> {
        let limit = self.limit_in_force(now)?;
        if !limit.is_lifted_by_answer(now) {
            return None;
        }
        self.limit = None;
        Some(LimitNews::Lifted)
    }

    /// Applies what another daemon told; returns whether it changed whether there is a limit.
    pub fn apply_news(
        &mut self,
        news: LimitNews,
        share: FleetShare,
        level: f64,
        now: BootTime,
    ) -> bool {
        let was_limited = self.limit_in_force(now).is_some();
        match news {
            LimitNews::Named(limit_per_s) => {
                let limit = self.set_limit(limit_per_s, share, level, now);
                limit.record_told(now);
                !was_limited
            }
            LimitNews::Lifted => {
                self.limit = None;
                was_limited
            }
        }
    }

    fn limit_in_force(&self, now: BootTime) -> Option<&NamedLimit> {
        self.limit.as_ref().filter(|limit| !limit.is_expired(now))
    }

    fn set_limit(
        &mut self,
        limit_per_s: f64,
        share: FleetShare,
        level: f64,
        now: BootTime,
    ) -> &mut NamedLimit {
        let held = self.limit.take().filter(|limit| !limit.is_expired(now));
        let mut limit = held.unwrap_or_else(|| NamedLimit::new(limit_per_s, share, level, now));
        limit.update(limit_per_s, share, now);
        self.limit.insert(limit)
    }
}
