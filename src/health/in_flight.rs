//! Requests in flight at one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Identity of a request in flight within one daemon; each retry has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId(pub u64);

/// Lateness of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Lateness {
    /// The response is not late.
    InTime,
    /// The siblings would have answered long ago.
    Overdue,
    /// No response is expected any more.
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
    /// Returns the number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether no requests are in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request that starts at `now`.
    pub fn start(&mut self, attempt: AttemptId, now: BootTime) {
        self.requests.push(InFlightRequest {
            attempt,
            started: now,
            lateness: Lateness::InTime,
        });
    }

    /// Removes a request.
    pub fn end(&mut self, attempt: AttemptId) {
        self.requests.retain(|r| r.attempt != attempt);
    }

    /// Returns the lateness that a request was last marked with.
    pub fn lateness(&self, attempt: AttemptId) -> Lateness {
        let found = self.requests.iter().find(|r| r.attempt == attempt);
        found.map_or(Lateness::InTime, |r| r.lateness)
    }

    /// Marks the requests older than `limit` with `lateness`, and returns the number of those that
    /// were newly marked.
    pub fn mark_late(&mut self, lateness: Lateness, limit: Duration, now: BootTime) -> usize {
        let is_new =
            |r: &&mut InFlightRequest| r.lateness < lateness && now.since(r.started) > limit;
        let newly_late = self.requests.iter_mut().filter(is_new);
        newly_late.map(|r| r.lateness = lateness).count()
    }
}
