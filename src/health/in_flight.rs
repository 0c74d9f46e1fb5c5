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
    /// Whether its lateness is evidence against the target.
    is_judged: bool,
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
            is_judged: true,
        });
    }

    /// Excludes a request from those whose lateness is evidence against the target.
    pub fn leave_unjudged(&mut self, attempt: AttemptId) {
        let found = self.requests.iter_mut().find(|r| r.attempt == attempt);
        if let Some(request) = found {
            request.is_judged = false;
        }
    }

    /// Returns the times since the requests started.
    pub fn ages(&self, now: BootTime) -> impl Iterator<Item = Duration> + '_ {
        self.requests.iter().map(move |r| now.since(r.started))
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
        let is_new = |r: &&mut InFlightRequest| {
            r.is_judged && r.lateness < lateness && now.since(r.started) > limit
        };
        let newly_late = self.requests.iter_mut().filter(is_new);
        newly_late.map(|r| r.lateness = lateness).count()
    }
}
