//! What the requests of one rank were offered and served recently.

use std::time::Duration;

use crate::{clock::BootTime, health::DecayingSum};

/// Half-life of the counts of requests offered and served over all ranks.
const SHARE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Half-life of the rate at which a rank is served. A daemon of a large fleet serves a few requests
/// of a rank per second, so that a shorter one would count too few of them.
const RATE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Requests of a rank that must have been served lately before its rate is known. Slow targets end
/// no request, or only one of the first, for a while after the queue begins to fill.
const MIN_SERVED: f64 = 3.0;
/// Time for which requests of a rank must have waited lately before its rate is known.
const MIN_WAITED: Duration = Duration::from_millis(100);
/// Share of the requests of a rank that is served at least, relative to the share over all ranks:
/// the required quarter, and a tenth of it for the lag of the averages.
const MIN_SHARE: f64 = 0.25 * 1.1;
/// Part by which the least share grows with each less urgent rank. Without it, ranks that get
/// no more than the least share differ by a request or two, in either direction.
const SHARE_STEP: f64 = 0.05;
/// Most less urgent ranks that count for [`SHARE_STEP`], so that the most urgent rank gives up
/// little where there are many ranks.
const MAX_SHARE_STEPS: usize = 8;
/// Most requests that a rank may be owed. Limits what a rank gets at once after a time in which it
/// had nothing in the queue.
const MAX_CREDIT: f64 = 8.0;

/// Requests offered and served over all ranks.
#[derive(Debug, Default)]
pub(super) struct ServedShare {
    offered: DecayingSum,
    served: DecayingSum,
}

impl ServedShare {
    pub(super) fn record_offered(&mut self, now: BootTime) {
        self.offered.add(1.0, now, SHARE_HALF_LIFE);
    }

    pub(super) fn record_served(&mut self, now: BootTime) {
        self.served.add(1.0, now, SHARE_HALF_LIFE);
    }

    /// Returns the share of the recent requests that was served.
    fn get(&self, now: BootTime) -> f64 {
        let offered = self.offered.get(now, SHARE_HALF_LIFE);
        let served = self.served.get(now, SHARE_HALF_LIFE);
        if offered > 0.0 {
            (served / offered).min(1.0)
        } else {
            1.0
        }
    }
}

/// The requests that one rank is owed, and the rate at which it was served while requests of it
/// waited.
#[derive(Debug, Default)]
pub(super) struct RankAccount {
    /// Number of less urgent ranks.
    pub(super) less_urgent: usize,
    credit: f64,
    served: DecayingSum,
    waited_s: DecayingSum,
    /// Time up to which `waited_s` counts, while requests wait.
    waiting_since: Option<BootTime>,
}

impl RankAccount {
    /// Records a request of the rank.
    pub(super) fn record_offered(&mut self, share: &ServedShare, now: BootTime) {
        let steps = self.less_urgent.min(MAX_SHARE_STEPS);
        let min_share = MIN_SHARE * (1.0 + SHARE_STEP * steps as f64);
        self.credit = (self.credit + min_share * share.get(now)).min(MAX_CREDIT);
    }

    /// Records that a request of the rank got a target.
    pub(super) fn record_served(&mut self, was_queued: bool, now: BootTime) {
        self.credit = (self.credit - 1.0).max(0.0);
        if was_queued {
            self.served.add(1.0, now, RATE_HALF_LIFE);
        }
    }

    /// Records whether requests of the rank wait from now on.
    pub(super) fn set_waiting(&mut self, waiting: bool, now: BootTime) {
        if let Some(since) = self.waiting_since {
            let waited_s = now.since(since).as_secs_f64();
            self.waited_s.add(waited_s, now, RATE_HALF_LIFE);
        }
        self.waiting_since = waiting.then_some(now);
    }

    /// Returns the number of requests that the rank must get before more urgent ones.
    pub(super) fn owed(&self) -> usize {
        self.credit as usize
    }

    /// Returns the rate at which the rank was served recently while requests of it waited, in 1/s;
    /// `None` if few waited or were served.
    pub(super) fn rate_per_s(&self, now: BootTime) -> Option<f64> {
        let current = self.waiting_since.map_or(Duration::ZERO, |t| now.since(t));
        let waited_s = self.waited_s.get(now, RATE_HALF_LIFE) + current.as_secs_f64();
        let served = self.served.get(now, RATE_HALF_LIFE);
        let is_known = waited_s >= MIN_WAITED.as_secs_f64() && served >= MIN_SERVED;
        is_known.then(|| served / waited_s)
    }

    /// Returns whether the account says the same as that of a rank without requests.
    pub(super) fn is_void(&self, now: BootTime) -> bool {
        self.waiting_since.is_none() && self.rate_per_s(now).is_none() && self.owed() == 0
    }
}
