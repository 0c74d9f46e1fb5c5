//! The decision whether this daemon may send a target a request now.

use std::time::Duration;

use crate::clock::BootTime;

use super::{
    named_limit::NamedLimit, warmup_limit::WarmupLimit, FleetShare, LimitNews, WarmupTerms,
};

/// Longest pause that a target may ask for.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Which limit keeps a daemon from sending a request, for which another one may have a token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TokenKind {
    /// The limit that the target named, in requests per second.
    Named(f64),
    /// The limit of a cold target, which this number of daemons share.
    Warmup(usize),
}

/// What one target asked of its callers.
#[derive(Debug, Clone, Default)]
pub struct TargetThrottle {
    limit: Option<NamedLimit>,
    warmup: Option<WarmupLimit>,
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
        let cold = self.warmup_in_force(now);
        let cold = cold.map_or(Duration::ZERO, |limit| limit.wait(now));
        paused.unwrap_or_default().max(limited).max(cold)
    }

    /// Returns the kind of the token that would allow a request now, if limits alone keep this
    /// daemon from sending it. The limit of a cold target comes first.
    pub fn borrowable_token(&self, now: BootTime) -> Option<TokenKind> {
        if self.paused_until.is_some_and(|until| until > now) || self.leaving {
            return None;
        }
        let cold = self.warmup_in_force(now);
        if let Some(limit) = cold.filter(|limit| !limit.wait(now).is_zero()) {
            return Some(TokenKind::Warmup(limit.terms.daemons));
        }
        let limit = self.limit_in_force(now)?;
        let is_held_back = !limit.wait(now).is_zero();
        is_held_back.then_some(TokenKind::Named(limit.limit_per_s))
    }

    /// Takes a token for a request of another daemon; returns whether there was one. If the target
    /// is cold (`is_cold`, as the other daemon knows, or as known here), there must be one of its
    /// warm-up limit, and one of the limit that it named, if any.
    pub fn lend(&mut self, is_cold: bool, now: BootTime) -> bool {
        let has_warmup_token = self.warmup_in_force(now).map(|limit| limit.has_token(now));
        if has_warmup_token == Some(false) || (is_cold && has_warmup_token.is_none()) {
            return false;
        }
        let named = self.limit.as_mut().filter(|limit| !limit.is_expired(now));
        let is_lent = match named {
            Some(limit) => limit.lend(now),
            None => has_warmup_token.is_some(),
        };
        if is_lent && has_warmup_token.is_some() {
            self.take_warmup_token(now);
        }
        is_lent
    }

    fn take_warmup_token(&mut self, now: BootTime) {
        let cold = self.warmup.as_mut().filter(|limit| limit.until > now);
        if cold.is_some_and(|limit| !limit.take(now)) {
            log::error!("request sent to a cold target without a token");
        }
    }

    /// Returns whether the target is cold and its requests are limited for this reason.
    pub fn is_cold(&self, now: BootTime) -> bool {
        self.warmup_in_force(now).is_some()
    }

    /// Returns whether this daemon has a part of the limit of the cold target.
    pub fn has_warmup_share(&self, now: BootTime) -> bool {
        let cold = self.warmup_in_force(now);
        cold.is_some_and(WarmupLimit::is_selected)
    }

    /// Limits the requests of a target that is cold until `until`; returns whether the limit or its
    /// terms are new, so that [`TargetThrottle::set_warmup_share`] must be called.
    pub fn set_warmup(&mut self, until: BootTime, terms: WarmupTerms, now: BootTime) -> bool {
        let held = self.warmup.as_mut().filter(|limit| limit.until > now);
        match held {
            Some(limit) => {
                limit.until = until;
                std::mem::replace(&mut limit.terms, terms) != terms
            }
            None => {
                self.warmup = Some(WarmupLimit::new(until, terms));
                true
            }
        }
    }

    /// Sets the place of this daemon in the fleet for the limit of the cold target.
    pub fn set_warmup_share(&mut self, share: FleetShare, now: BootTime) {
        if let Some(limit) = &mut self.warmup {
            limit.set_share(share, now);
        }
    }

    /// Ends the limit of a target that is not cold any more; returns whether it was in force.
    pub fn end_warmup(&mut self, now: BootTime) -> bool {
        let limit = self.warmup.take();
        limit.is_some_and(|limit| limit.until > now)
    }

    fn warmup_in_force(&self, now: BootTime) -> Option<&WarmupLimit> {
        self.warmup.as_ref().filter(|limit| limit.until > now)
    }

    /// Records that a request is sent to the target.
    pub fn record_sent(&mut self, now: BootTime) {
        if let Some(limit) = &mut self.limit {
            limit.record_sent(now);
        }
        self.take_warmup_token(now);
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
        Some(LimitNews::Named(limit.limit_per_s))
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
