//! The lease of a session, as its own process sees it.

use crate::clock::BootTime;

use super::{LeasePhase, LeaseTerms};

/// A renewal on its way to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// When it was sent.
    pub sent: BootTime,
    /// The terms that it carries.
    pub terms: LeaseTerms,
    /// The counter that it carries.
    pub counter: u64,
}

/// The lease of a session, as its own process sees it.
///
/// Each term counts from before its renewal was sent, so that it ends no later than for any
/// host that saw the renewal's row.
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
    /// The row may carry the new terms from now on even when no answer comes, so that a lease
    /// that would outlast them is shortened at once.
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

    /// Takes in that the table committed `renewal`.
    pub fn complete_renewal(&mut self, renewal: &Renewal) {
        if self.ended || renewal.counter != self.counter {
            return;
        }
        self.full_until = renewal.sent + renewal.terms.short;
        self.reduced_until = renewal.sent + renewal.terms.long;
    }

    /// Ends the lease for good, at a release or when the session was found fenced.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Tells whether the lease ended for good.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns what the lease allows at `now`.
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
