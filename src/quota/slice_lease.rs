//! The lease of one slice, as a state machine.

use std::time::Duration;

use crate::clock::BootTime;

/// Time for which a lease is held without renewal. A longer term would admit no more requests
/// during an outage of the store, because keys stop working sooner than this.
pub const LEASE_TERM: Duration = Duration::from_secs(8);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(2500);
/// Safety margin that an observer adds to the term for clocks that run at different speeds.
const MARGIN: Duration = Duration::from_millis(300);

/// A version of the lease row, with the time at which it was first read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ObservedRow {
    version: u64,
    since: BootTime,
    /// Whether no other daemon holds the lease, because the row was read back as written by this
    /// host's daemon, or its holder has released it to this one.
    unheld: bool,
}

/// The lease of one slice from the point of view of one daemon.
///
/// Clocks of different hosts are never compared: the holder counts the term from before it sent its
/// write, and a daemon that wants to take over counts from when it first read the unchanged row.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SliceLease {
    observed: Option<ObservedRow>,
    held_until: Option<BootTime>,
    /// Whether this daemon has given up the lease for good.
    released: bool,
}

impl SliceLease {
    /// Updates the state from the row as read: its version, 0 if it is absent, and whether this
    /// host's daemon wrote it, in this or an earlier incarnation.
    pub fn observe(&mut self, version: u64, own_host: bool, now: BootTime) {
        if self.released || self.observed.is_some_and(|s| s.version == version) {
            return;
        }
        self.held_until = None;
        self.observed = Some(ObservedRow {
            version,
            since: now,
            unheld: own_host,
        });
    }

    /// Returns the version that the row must have for a write that acquires or renews the lease;
    /// `None` while another daemon may hold the lease.
    pub fn acquirable_version(&self, now: BootTime) -> Option<u64> {
        let observed = self.observed?;
        let expired = now.since(observed.since) >= LEASE_TERM + MARGIN;
        let is_free = observed.version == 0 || observed.unheld || expired;
        (is_free || self.held_until.is_some()).then_some(observed.version)
    }

    /// Returns the time until a lease that is not renewed meanwhile has expired; zero if the row has
    /// not been read.
    pub fn time_until_expiry(&self, now: BootTime) -> Duration {
        let term = LEASE_TERM + MARGIN;
        let elapsed = self.observed.map_or(term, |o| now.since(o.since));
        term.saturating_sub(elapsed)
    }

    /// Returns whether no daemon has ever held the lease.
    pub fn was_never_held(&self) -> bool {
        self.observed.is_some_and(|s| s.version == 0)
    }

    /// Records that a write that was sent at `sent` was committed.
    pub fn record_write(&mut self, version: u64, sent: BootTime) {
        if self.released {
            return;
        }
        self.observed = Some(ObservedRow {
            version,
            since: sent,
            unheld: false,
        });
        self.held_until = Some(sent + LEASE_TERM);
    }

    /// Records that a write of this incarnation was committed although its response was lost; the
    /// term is not extended.
    pub fn adopt_own_write(&mut self, version: u64) {
        if let Some(observed) = &mut self.observed {
            observed.version = version;
            observed.unheld = true;
        }
    }

    /// Records that another daemon has written the row.
    pub fn mark_lost(&mut self) {
        self.observed = None;
        self.held_until = None;
    }

    /// Gives up a held lease for good, and returns the version of its row, which entitles a
    /// successor to acquire it before the term is over; `None` if the lease is not held.
    pub fn release(&mut self, now: BootTime) -> Option<u64> {
        let version = self.observed.filter(|_| self.is_held(now))?.version;
        self.mark_lost();
        self.released = true;
        Some(version)
    }

    /// Records that the holder has released the lease while its row had this version, and returns
    /// whether this daemon may acquire it.
    ///
    /// The holder may have released it to several daemons. Only one of their writes can find the row
    /// unchanged.
    pub fn accept_release(&mut self, version: u64, now: BootTime) -> bool {
        let is_newer_known = self.observed.is_some_and(|o| o.version > version);
        if self.released || self.is_holder() || is_newer_known {
            return false;
        }
        self.observed = Some(ObservedRow {
            version,
            since: now,
            unheld: true,
        });
        true
    }

    /// Returns the version of the row as last read or written.
    pub fn observed_version(&self) -> Option<u64> {
        self.observed.map(|o| o.version)
    }

    /// Returns whether the lease is held at `now`.
    pub fn is_held(&self, now: BootTime) -> bool {
        self.held_until.is_some_and(|end| now < end)
    }

    /// Returns whether the daemon considers itself the holder, even if its term is over.
    pub fn is_holder(&self) -> bool {
        self.held_until.is_some()
    }
}
