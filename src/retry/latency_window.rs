//! Sliding window of the latencies of one service.

use std::time::Duration;

/// Number of latencies in the window.
const WINDOW_SIZE: usize = 128;
/// Number of latencies required to derive a timeout.
const MIN_SAMPLES: usize = 8;
/// Rank of the latency from which the timeout is derived; the highest latency has rank 0.
const RANK_FROM_HIGHEST: usize = 1;
/// Ratio of the silence timeout to that latency.
const SILENCE_FACTOR: u32 = 4;
/// Lower limit of the silence timeout.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(200);
/// Silence timeout while there are fewer than [`MIN_SAMPLES`] latencies.
const DEFAULT_SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of new latencies after which the timeout is recomputed.
const REFRESH_INTERVAL: usize = 16;

/// Recent latencies of one service and the silence timeout derived from them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LatencyWindow {
    latencies: Vec<Duration>,
    recorded: usize,
    silence_timeout: Duration,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            latencies: Vec::new(),
            recorded: 0,
            silence_timeout: DEFAULT_SILENCE_TIMEOUT,
        }
    }
}

impl LatencyWindow {
    /// Records the time from sending a request to receiving its response head.
    pub fn record(&mut self, latency: Duration) {
        if self.latencies.len() < WINDOW_SIZE {
            self.latencies.push(latency);
        } else {
            self.latencies[self.recorded % WINDOW_SIZE] = latency;
        }
        self.recorded += 1;
        let first = self.latencies.len() == MIN_SAMPLES && self.recorded == MIN_SAMPLES;
        if first || (self.recorded % REFRESH_INTERVAL == 0 && self.recorded >= MIN_SAMPLES) {
            self.refresh();
        }
    }

    /// Returns the time after which a connection is considered silent.
    pub fn silence_timeout(&self) -> Duration {
        self.silence_timeout
    }

    fn refresh(&mut self) {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let high = sorted[sorted.len() - 1 - RANK_FROM_HIGHEST];
        self.silence_timeout = (high * SILENCE_FACTOR).max(MIN_SILENCE_TIMEOUT);
    }
}
