//! The lease of one slice as a state machine.

use std::time::Duration;

use crate::clock::BootTime;

/// Time for which a lease is held without renewal. Keys stop working without the store sooner, so
/// that a longer term would let no more requests pass.
pub const LEASE_TERM: Duration = Duration::from_secs(8);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(2500);
/// Added to the term by whoever waits for its end, for clocks that run at different speeds.
const MARGIN: Duration = Duration::from_millis(300);

/// A row of the lease as it was first seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Seen {
    version: u64,
    since: BootTime,
    /// Whether an earlier run of this host's daemon wrote it.
    own_host: bool,
}

/// The lease of one slice, as one daemon knows it.
///
/// No clocks of different hosts are compared: the holder counts the term from before it sent its
/// write, and whoever wants to take over counts from when it first observe the row that stands still.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SliceLease {
    seen: Option<Seen>,
    held_until: Option<BootTime>,
}

impl SliceLease {
    /// Takes note of the row as read: its version, 0 when it is absent, and whether an earlier
    /// run of this host's daemon wrote it.
    pub fn observe(&mut self, version: u64, own_host: bool, now: BootTime) {
        if self.seen.is_some_and(|s| s.version == version) {
            return;
        }
        self.held_until = None;
        self.seen = Some(Seen {
            version,
            since: now,
            own_host,
        });
    }

    /// Returns the version that a write which takes or renews the lease must find; none while the
    /// lease may be another daemon's.
    pub fn acquirable_version(&self, now: BootTime) -> Option<u64> {
        let seen = self.seen?;
        let over = now.since(seen.since) >= LEASE_TERM + MARGIN;
        let free = seen.version == 0 || seen.own_host || over;
        (free || self.held_until.is_some()).then_some(seen.version)
    }

    /// Tells whether nobody ever held the lease.
    pub fn was_never_held(&self) -> bool {
        self.seen.is_some_and(|s| s.version == 0)
    }

    /// Takes note of a write that was sent at `sent` and took effect.
    pub fn record_write(&mut self, version: u64, sent: BootTime) {
        self.seen = Some(Seen {
            version,
            since: sent,
            own_host: false,
        });
        self.held_until = Some(sent + LEASE_TERM);
    }

    /// Takes note that a write of this run took effect whose answer was lost; the term stands.
    pub fn adopt_own_write(&mut self, version: u64) {
        if let Some(seen) = &mut self.seen {
            seen.version = version;
            seen.own_host = true;
        }
    }

    /// Takes note that another daemon wrote the row.
    pub fn mark_lost(&mut self) {
        self.seen = None;
        self.held_until = None;
    }

    /// Tells whether the lease is held at `now`.
    pub fn is_held(&self, now: BootTime) -> bool {
        self.held_until.is_some_and(|end| now < end)
    }

    /// Tells whether the daemon believes to be the holder, be its term over or not.
    pub fn is_holder(&self) -> bool {
        self.held_until.is_some()
    }
}
