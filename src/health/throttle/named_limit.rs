//! A limit that a target named on the requests of the whole fleet.

use std::time::Duration;

use crate::{clock::BootTime, limit::TokenBucket};

use super::{FleetShare, MAX_WAIT};

/// Requests that a daemon may send at once.
const BURST: f64 = 1.0;
/// Lowest limit that is kept, in requests per second, within the operator's tolerance. Under a lower
/// one, no request would find out that the limit has ended or was named in a corrupt response.
const MIN_LIMIT_PER_S: f64 = 0.1;
/// Time after which a limit that nobody heard of again is forgotten, in addition to that in which
/// the fleet sends [`EXPIRY_REQUESTS`] within the limit.
const EXPIRY: Duration = Duration::from_secs(15);
/// See [`EXPIRY`]; all of them may fail to bring news.
const EXPIRY_REQUESTS: f64 = 5.0;
/// Time without the target naming its limit to this daemon after which an answer without a limit
/// lifts it.
const LIFT_AFTER: Duration = Duration::from_secs(1);
/// Time after which the other daemons are told again of a limit that is still named.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Relative change of a limit of which the other daemons are told at once.
const MIN_CHANGE: f64 = 0.05;

/// What the other daemons of the fleet should know about a target's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitNews {
    /// The target names this limit, in requests per second.
    Named(f64),
    /// The target names no limit any more.
    Lifted,
}

/// A limit that is in force.
#[derive(Debug, Clone)]
pub(super) struct NamedLimit {
    /// At least [`MIN_LIMIT_PER_S`], whatever the target named.
    pub(super) limit_per_s: f64,
    /// This daemon's part of the limit; `None` if it may not send to the target.
    bucket: Option<TokenBucket>,
    /// When the target last named the limit to any daemon, as far as known here.
    heard_at: BootTime,
    /// When the target last named the limit to this daemon.
    named_here_at: Option<BootTime>,
    /// When the fleet was last told of the limit.
    told_at: BootTime,
}

impl NamedLimit {
    /// Creates a limit that is first heard of at `now`. `level`, from 0 to 1, spreads the first
    /// requests of the selected daemons.
    pub(super) fn new(limit_per_s: f64, share: FleetShare, level: f64, now: BootTime) -> Self {
        let limit_per_s = limit_per_s.max(MIN_LIMIT_PER_S);
        let rate = share.rate_per_s(limit_per_s);
        Self {
            limit_per_s,
            bucket: rate.map(|rate| TokenBucket::new(rate, BURST, level, now)),
            heard_at: now,
            named_here_at: None,
            told_at: now,
        }
    }

    /// Updates the limit and this daemon's part of it.
    pub(super) fn update(&mut self, limit_per_s: f64, share: FleetShare, now: BootTime) {
        let limit_per_s = limit_per_s.max(MIN_LIMIT_PER_S);
        self.limit_per_s = limit_per_s;
        self.heard_at = now;
        match (&mut self.bucket, share.rate_per_s(limit_per_s)) {
            (Some(bucket), Some(rate)) => bucket.set_limits(rate, BURST, now),
            (bucket, rate) => *bucket = rate.map(|rate| TokenBucket::new(rate, BURST, 0.0, now)),
        }
    }

    /// Records that the target named the limit to this daemon.
    pub(super) fn record_named_here(&mut self, now: BootTime) {
        self.named_here_at = Some(now);
    }

    /// Records that the fleet knows of the limit as of `now`.
    pub(super) fn record_told(&mut self, now: BootTime) {
        self.told_at = now;
    }

    /// Returns whether the fleet should be told of the limit, which was `former_per_s` before.
    pub(super) fn is_news(&self, former_per_s: f64, now: BootTime) -> bool {
        let change = (self.limit_per_s - former_per_s).abs();
        change > former_per_s * MIN_CHANGE || now.since(self.told_at) >= RENEWAL_INTERVAL
    }

    /// Returns whether an answer without a limit lifts this one.
    pub(super) fn is_lifted_by_answer(&self, now: BootTime) -> bool {
        let named = self.named_here_at;
        named.is_none_or(|at| now.since(at) >= LIFT_AFTER)
    }

    /// Returns whether nobody heard of the limit for so long that it is forgotten.
    pub(super) fn is_expired(&self, now: BootTime) -> bool {
        let sending = Duration::from_secs_f64(EXPIRY_REQUESTS / self.limit_per_s);
        now.since(self.heard_at) >= EXPIRY + sending
    }

    /// Returns the time until this daemon may send a request. Without a part of the limit, this is
    /// the time in which the fleet sends one, as another daemon may take the request.
    pub(super) fn wait(&self, now: BootTime) -> Duration {
        let wait = match &self.bucket {
            Some(bucket) => bucket.wait(now),
            None => Duration::from_secs_f64(1.0 / self.limit_per_s),
        };
        wait.min(MAX_WAIT)
    }

    /// Takes a token for a request of another daemon; returns whether there was one.
    pub(super) fn lend(&mut self, now: BootTime) -> bool {
        let bucket = self.bucket.as_mut();
        bucket.is_some_and(|bucket| bucket.take(now).is_ok())
    }

    /// Records that a request is sent.
    pub(super) fn record_sent(&mut self, now: BootTime) {
        if let Some(bucket) = &mut self.bucket {
            if let Err(wait) = bucket.take(now) {
                log::error!(wait_ms = wait.as_millis() as u64; "request sent above a limit");
            }
        }
    }
}
