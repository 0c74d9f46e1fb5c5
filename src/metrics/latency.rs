//! Latency histograms.

use std::{cell::RefCell, time::Duration};

use hdrhistogram::Histogram;
use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Resolution of the histograms.
const STEP: Duration = Duration::from_micros(100);
/// Maximum distinguishable latency in steps: one minute, which is above all deadlines.
const MAX_STEPS: u64 = 600_000;
/// Significant digits of a histogram, which then takes about 7 KB.
const DIGITS: u8 = 2;
/// Exported quantiles.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// The measured latencies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Latency {
    /// Request with a response of a target, from receipt of its body to the end of the response.
    AnswerLatencyS,
    /// Attempt at a target, from its start to the head of the response.
    TargetLatencyS,
    /// Token request to another daemon.
    AskLatencyS,
}

impl Latency {
    /// Returns the name of the exported metric.
    pub fn name(self) -> &'static str {
        self.into()
    }
}

/// Histogram of one latency.
pub(super) struct LatencyHistogram {
    steps: RefCell<Option<Histogram<u32>>>,
}

impl LatencyHistogram {
    /// Creates an empty histogram.
    pub(super) fn new() -> Self {
        Self {
            steps: RefCell::new(
                Histogram::new_with_max(MAX_STEPS, DIGITS)
                    .inspect_err(|e| log::error!("cannot create a latency histogram: {e}"))
                    .ok(),
            ),
        }
    }

    /// Records one latency.
    pub(super) fn record(&self, latency: Duration) {
        if let Some(steps) = &mut *self.steps.borrow_mut() {
            let step = latency.as_micros() / STEP.as_micros();
            steps.saturating_record(u64::try_from(step).unwrap_or(MAX_STEPS));
        }
    }

    /// Calls `f` with each exported quantile and its latency in seconds, unless nothing has been
    /// recorded. Returns the number of recorded latencies.
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
