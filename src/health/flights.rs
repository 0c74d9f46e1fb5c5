//! Requests in flight at one target.

use std::time::Duration;

use crate::clock::BootTime;

/// Identity of a request in flight within one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

#[derive(Debug, Clone, Copy)]
struct Flight {
    ticket: Ticket,
    started: BootTime,
    overdue: bool,
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
            overdue: false,
        });
    }

    /// Removes a request.
    pub fn end(&mut self, ticket: Ticket) {
        self.flights.retain(|f| f.ticket != ticket);
    }

    /// Tells whether a request was found overdue before.
    pub fn was_overdue(&self, ticket: Ticket) -> bool {
        let found = self.flights.iter().find(|f| f.ticket == ticket);
        found.is_some_and(|f| f.overdue)
    }

    /// Marks the requests older than `limit`, and returns how many were not marked before.
    pub fn mark_overdue(&mut self, limit: Duration, now: BootTime) -> usize {
        let late = |f: &&mut Flight| !f.overdue && now.since(f.started) > limit;
        let newly = self.flights.iter_mut().filter(late);
        newly.map(|f| f.overdue = true).count()
    }
}
