//! Requests in flight at one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Identity of a request in flight within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

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
struct Flight {
    ticket: Ticket,
    started: BootTime,
    lateness: Lateness,
}

/// Requests in flight at one target.
#[derive(Debug, Clone, Default)]
pub struct Flights {
    flights: Vec<Flight>,
}

impl Flights {
    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.flights.len()
    }

    /// Tells whether there are none.
    pub fn is_empty(&self) -> bool {
        self.flights.is_empty()
    }

    /// Adds a request that starts now.
    pub fn start(&mut self, ticket: Ticket, now: BootTime) {
        self.flights.push(Flight {
            ticket,
            started: now,
            lateness: Lateness::InTime,
        });
    }

    /// Removes a request.
    pub fn end(&mut self, ticket: Ticket) {
        self.flights.retain(|f| f.ticket != ticket);
    }

    /// Returns how late a request was found to be.
    pub fn lateness(&self, ticket: Ticket) -> Lateness {
        let found = self.flights.iter().find(|f| f.ticket == ticket);
        found.map_or(Lateness::InTime, |f| f.lateness)
    }

    /// Marks the requests older than `limit`, and returns how many were not as late before.
    pub fn mark(&mut self, lateness: Lateness, limit: Duration, now: BootTime) -> usize {
        let late = |f: &&mut Flight| f.lateness < lateness && now.since(f.started) > limit;
        let newly = self.flights.iter_mut().filter(late);
        newly.map(|f| f.lateness = lateness).count()
    }
}
