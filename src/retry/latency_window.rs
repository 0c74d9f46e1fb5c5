//! Recent latencies of one service.

use std::time::Duration;

/// Count of latencies that are kept.
const WINDOW_SIZE: usize = 128;
/// Count of latencies below which none counts as usual.
const MIN_SAMPLES: usize = 8;
/// Rank of the usual latency in the window, counted from the highest.
const RANK_FROM_TOP: usize = 1;
/// How many times the usual latency a connection may say nothing.
const SILENCE_FACTOR: u32 = 4;
/// Shortest time after which a connection counts as silent.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time after which a connection counts as silent while too little is known.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Count of new latencies after which the usual one is worked out again.
const REFRESH_INTERVAL: usize = 16;

/// The last latencies of one service, and the time after which a connection counts as silent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyWindow {
    latencies: Vec<Duration>,
    next: usize,
    silence_timeout: Duration,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            latencies: Vec::new(),
            next: 0,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT,
        }
    }
}

impl LatencyWindow {
    /// Takes note of the time from the dispatch of a request to the head of its answer.
    pub fn record(&mut self, latency: Duration) {
        if self.latencies.len() < WINDOW_SIZE {
            self.latencies.push(latency);
        } else {
            self.latencies[self.next % WINDOW_SIZE] = latency;
        }
        self.next += 1;
        let early = self.latencies.len() == MIN_SAMPLES && self.next == MIN_SAMPLES;
        if early || (self.next % REFRESH_INTERVAL == 0 && self.next >= MIN_SAMPLES) {
            self.refresh();
        }
    }

    /// Returns the time after which a connection counts as silent.
    pub fn silence_timeout(&self) -> Duration {
        self.silence_timeout
    }

    fn refresh(&mut self) {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let typical = sorted[sorted.len() - 1 - RANK_FROM_TOP];
        self.silence_timeout = (typical * SILENCE_FACTOR).max(MIN_SILENCE_TIMEOUT);
    }
}
