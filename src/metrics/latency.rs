//! Histograms of latencies.

use std::{cell::RefCell, time::Duration};

use hdrhistogram::Histogram;
use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Smallest step of a histogram.
const STEP: Duration = Duration::from_micros(100);
/// Largest latency that is told from longer ones, in steps: one minute, above all deadlines.
const MAX_STEPS: u64 = 600_000;
/// Significant digits kept; a histogram has about 7 KB.
const DIGITS: u8 = 2;
/// Quantiles that are shown.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Latency {
    /// A request with a target's answer, from its body's arrival to the end of the answer.
    AnswerLatencyS,
    /// An attempt, from its begin to the head of the target's answer.
    TargetLatencyS,
    /// An ask for tokens at another daemon.
    AskLatencyS,
}

impl Latency {
    /// Returns the name on the metrics address.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// The distribution of one latency.
pub(super) struct LatencyHistogram {
    steps: RefCell<Option<Histogram<u32>>>,
}

impl LatencyHistogram {
    /// Makes an empty histogram.
    pub(super) fn new() -> Self {
        Self {
            steps: RefCell::new(
                Histogram::new_with_max(MAX_STEPS, DIGITS)
                    .inspect_err(|e| log::error!("histogram of latencies: {e}"))
                    .ok(),
            ),
        }
    }

    /// Takes note of one latency.
    pub(super) fn record(&self, latency: Duration) {
        if let Some(steps) = &mut *self.steps.borrow_mut() {
            let step = latency.as_micros() / STEP.as_micros();
            steps.saturating_record(u64::try_from(step).unwrap_or(MAX_STEPS));
        }
    }

    /// Calls `f` with each shown quantile and its latency in seconds; with none before the first
    /// record. Returns how many were recorded.
    pub(super) fn for_each_quantile(&self, mut f: impl FnMut(f64, f64)) -> u64 {
        let steps = self.steps.borrow();
        let Some(steps) = steps.as_ref().filter(|s| !s.is_empty()) else {
            return 0;
        };
        for quantile in QUANTILES {
            let step = steps.value_at_quantile(quantile) as f64;
            f(quantile, step * STEP.as_secs_f64());
        }
        steps.len()
    }
}
