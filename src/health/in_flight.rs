//! Requests in flight at one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Identity of a request in flight within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u64);

/// How late an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// It may still come in time.
    InTime,
    /// It comes long after the siblings' would have.
    Overdue,
    /// It is no longer expected.
    Silent,
}

#[derive(Debug, Clone, Copy)]
struct InFlightRequest {
    attempt: AttemptId,
    started: BootTime,
    lateness: Lateness,
}

/// Requests in flight at one target.
#[derive(Debug, Clone, Default)]
pub struct InFlightRequests {
    requests: Vec<InFlightRequest>,
}

impl InFlightRequests {
    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that starts now.
    pub fn start(&mut self, attempt: AttemptId, now: BootTime) {
        self.requests.push(InFlightRequest {
            attempt,
            started: now,
            lateness: Lateness::InTime,
        });
    }

    /// Removes a request.
    pub fn end(&mut self, attempt: AttemptId) {
        self.requests.retain(|f| f.attempt != attempt);
    }

    /// Returns how late a request was found to be.
    pub fn lateness(&self, attempt: AttemptId) -> Lateness {
        let found = self.requests.iter().find(|f| f.attempt == attempt);
        found.map_or(Lateness::InTime, |f| f.lateness)
    }

    /// Marks the requests older than `limit`, and returns how many were not as late before.
    pub fn mark_late(&mut self, lateness: Lateness, limit: Duration, now: BootTime) -> usize {
        let late = |f: &&mut InFlightRequest| f.lateness < lateness && now.since(f.started) > limit;
        let newly = self.requests.iter_mut().filter(late);
        newly.map(|f| f.lateness = lateness).count()
    }
}
