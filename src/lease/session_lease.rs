//! The lease of a session from the holder's point of view.

use crate::clock::BootTime;

use super::{LeasePhase, LeaseTerms};

/// A renewal that was sent to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// When it was sent.
    pub sent: BootTime,
    /// The terms that it carries.
    pub terms: LeaseTerms,
    /// The counter that it carries.
    pub counter: u64,
}

/// The lease of a session from the holder's point of view.
///
/// Each term is counted from before its renewal was sent, so that the holder's term ends no later
/// than as seen by any host that read the renewed row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SessionLease {
    full_until: BootTime,
    reduced_until: BootTime,
    counter: u64,
    ended: bool,
}

impl SessionLease {
    /// Begins a renewal.
    ///
    /// The row may contain the new terms from now on even if no response arrives, so a lease that
    /// would outlast them is shortened at once.
    pub fn begin_renewal(&mut self, terms: LeaseTerms, now: BootTime) -> Renewal {
        self.counter += 1;
        self.full_until = self.full_until.min(now + terms.short);
        self.reduced_until = self.reduced_until.min(now + terms.long);
        Renewal {
            sent: now,
            terms,
            counter: self.counter,
        }
    }

    /// Extends the lease after the table committed `renewal`.
    pub fn complete_renewal(&mut self, renewal: &Renewal) {
        if self.ended || renewal.counter != self.counter {
            return;
        }
        self.full_until = renewal.sent + renewal.terms.short;
        self.reduced_until = renewal.sent + renewal.terms.long;
    }

    /// Ends the lease for good, at a release or after the session was found fenced or removed.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Returns whether the lease has ended for good.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the phase of the lease at `now`.
    pub fn phase(&self, now: BootTime) -> LeasePhase {
        if self.ended || now >= self.reduced_until {
            return LeasePhase::Lapsed;
        }
        if now >= self.full_until {
            return LeasePhase::Reduced;
        }
        LeasePhase::Full
    }
}
