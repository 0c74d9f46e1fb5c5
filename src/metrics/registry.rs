//! Storage of the counters and latency histograms.

use std::{cell::Cell, time::Duration};

use strum::{EnumCount, IntoEnumIterator};

use crate::{outcome::ErrorKind, retry::RetryReason};

use super::{latency::LatencyHistogram, Counter, Latency};

/// Counters and latency histograms of one daemon, owned by its single thread.
pub struct Metrics {
    counters: [Cell<u64>; Counter::COUNT],
    refusals: [Cell<u64>; ErrorKind::COUNT],
    retries: [Cell<u64>; RetryReason::COUNT],
    refused_retries: [Cell<u64>; RetryReason::COUNT],
    latencies: [LatencyHistogram; Latency::COUNT],
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            counters: std::array::from_fn(|_| Cell::new(0)),
            refusals: std::array::from_fn(|_| Cell::new(0)),
            retries: std::array::from_fn(|_| Cell::new(0)),
            refused_retries: std::array::from_fn(|_| Cell::new(0)),
            latencies: std::array::from_fn(|_| LatencyHistogram::new()),
        }
    }
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        increment(&self.counters[counter as usize]);
    }

    /// Adds `n` to a counter.
    pub fn add(&self, counter: Counter, n: u64) {
        let cell = &self.counters[counter as usize];
        cell.set(cell.get() + n);
    }

    /// Counts one request that was answered with the error `kind`.
    pub fn count_refusal(&self, kind: ErrorKind) {
        increment(&self.refusals[kind as usize]);
    }

    /// Counts one retry.
    pub fn count_retry(&self, reason: RetryReason) {
        increment(&self.retries[reason as usize]);
    }

    /// Counts one retry that was refused by the retry budget.
    pub fn count_refused_retry(&self, reason: RetryReason) {
        increment(&self.refused_retries[reason as usize]);
    }

    /// Records one latency.
    pub fn record_latency(&self, what: Latency, latency: Duration) {
        self.latencies[what as usize].record(latency);
    }

    /// Calls `f` with the name, the quantile and its value in seconds for all latencies that have
    /// been recorded; calls `count` with the name and the number of records of every latency.
    pub fn for_each_latency(
        &self,
        mut f: impl FnMut(&str, f64, f64),
        mut count: impl FnMut(&str, u64),
    ) {
        for what in Latency::iter() {
            let name = what.name();
            let histogram = &self.latencies[what as usize];
            let recorded = histogram.for_each_quantile(|quantile, s| f(name, quantile, s));
            count(name, recorded);
        }
    }

    /// Calls `f` with the name and value of each counter, including refusals and retries.
    pub fn for_each_counter(&self, mut f: impl FnMut(&str, u64)) {
        for counter in Counter::iter() {
            f(counter.name(), self.counters[counter as usize].get());
        }
        for kind in ErrorKind::iter() {
            let name = format!("refused.{}", kind.name());
            f(&name, self.refusals[kind as usize].get());
        }
        for reason in RetryReason::iter() {
            let name = format!("retried.{}", reason.name());
            f(&name, self.retries[reason as usize].get());
            let name = format!("retry_refused.{}", reason.name());
            f(&name, self.refused_retries[reason as usize].get());
        }
    }
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
