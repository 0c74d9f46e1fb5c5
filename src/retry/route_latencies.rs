//! Recent latencies of one route to one service, and the delay of a second attempt.

use std::time::Duration;

use crate::clock::BootTime;

/// Number of latencies in the window.
const WINDOW_SIZE: usize = 128;
/// Number of latencies required to derive a delay.
const MIN_SAMPLES: usize = 32;
/// Number of latencies whose median tells whether the service is slow now.
const RECENT_SIZE: usize = 16;
/// Number of new latencies after which the delay is recomputed.
const REFRESH_INTERVAL: usize = 8;
/// Lowest percentile that a delay is derived from.
const MIN_PERCENTILE: f64 = 0.95;
/// Lower limit of the delay, in medians. A second attempt itself takes about one, so an earlier one
/// gains little; without this limit a service whose latencies hardly differ would be hedged.
const MIN_DELAY_MEDIANS: u32 = 2;
/// Ratio of the recent median to the usual one above which the service is slow as a whole.
const SLOW_FACTOR: u32 = 2;
/// Time in which the usual median doubles while latencies stay higher. With 2 minutes, a service 3
/// times slower than usual was hedged again within a minute.
const USUAL_DOUBLING: Duration = Duration::from_secs(600);

/// Recent latencies of one route to one service.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteLatencies {
    percentile: f64,
    latencies: Vec<Duration>,
    recorded: usize,
    recorded_at: BootTime,
    /// Usual median, and when it was computed. It follows lower medians at once and higher ones
    /// slowly, so that a service that became slow is recognized for minutes.
    usual: Option<(Duration, BootTime)>,
    delay: Option<Duration>,
    is_slow: bool,
}

impl RouteLatencies {
    /// Creates an empty window for a limit of `share` second attempts for each request.
    pub fn new(share: f64, now: BootTime) -> Self {
        Self {
            percentile: (1.0 - share).max(MIN_PERCENTILE),
            latencies: Vec::new(),
            recorded: 0,
            recorded_at: now,
            usual: None,
            delay: None,
            is_slow: false,
        }
    }

    /// Records the time that an attempt took, or the time after which it was cancelled.
    pub fn record(&mut self, latency: Duration, now: BootTime) {
        if self.latencies.len() < WINDOW_SIZE {
            self.latencies.push(latency);
        } else {
            self.latencies[self.recorded % WINDOW_SIZE] = latency;
        }
        self.recorded += 1;
        self.recorded_at = now;
        if self.recorded >= MIN_SAMPLES && self.recorded % REFRESH_INTERVAL == 0 {
            self.refresh(now);
        }
    }

    /// Returns the time after which a second attempt is considered; `None` without enough latencies.
    pub fn delay(&self) -> Option<Duration> {
        self.delay
    }

    /// Returns the usual median; zero without enough latencies.
    pub fn usual(&self) -> Duration {
        self.usual.map_or(Duration::ZERO, |(usual, _)| usual)
    }

    /// Returns whether the service is slow as a whole.
    pub fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// Returns when a latency was last recorded.
    pub fn recorded_at(&self) -> BootTime {
        self.recorded_at
    }

    fn refresh(&mut self, now: BootTime) {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let median = sorted[sorted.len() / 2];
        let rank = (self.percentile * sorted.len() as f64).ceil() as usize;
        let high = sorted[rank.clamp(1, sorted.len()) - 1];
        self.delay = Some(high.max(median * MIN_DELAY_MEDIANS));
        let usual = match self.usual {
            Some((usual, at)) => {
                let doublings = now.since(at).as_secs_f64() / USUAL_DOUBLING.as_secs_f64();
                // Bounded, as a route may be unused for days.
                median.min(usual.mul_f64(doublings.min(10.0).exp2()))
            }
            None => median,
        };
        self.usual = Some((usual, now));
        self.is_slow = self.recent_median() > usual * SLOW_FACTOR;
    }

    fn recent_median(&self) -> Duration {
        let last = (self.recorded - RECENT_SIZE)..self.recorded;
        let mut recent: Vec<Duration> = last.map(|i| self.latencies[i % WINDOW_SIZE]).collect();
        recent.sort_unstable();
        recent[RECENT_SIZE / 2]
    }
}
