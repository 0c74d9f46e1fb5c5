//! The lease of one slice, as a state machine.

use std::time::Duration;

use crate::{
    clock::BootTime,
    store::{Era, StoreVersion},
};

/// Time for which a lease is held without renewal. A longer term would admit no more requests
/// during an outage of the store, because keys stop working sooner than this.
pub const LEASE_TERM: Duration = Duration::from_secs(8);
/// Time between two renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(2500);
/// Safety margin that an observer adds to the term for clocks that run at different speeds.
const MARGIN: Duration = Duration::from_millis(300);

/// What is known of the holder that a version of the lease row names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum RowClaim {
    /// Another daemon may hold the lease.
    Unknown,
    /// This daemon wrote the row, in this or an earlier incarnation, which has ended.
    OwnDaemon,
    /// The holder has released the lease to this daemon in the era of the row.
    Released,
}

/// A version of the lease row, with the time at which it was first read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ObservedRow {
    version: u64,
    since: BootTime,
    claim: RowClaim,
}

/// The lease of one slice from the point of view of one daemon.
///
/// Clocks of different hosts are never compared: the holder counts the term from before it sent its
/// write, and a daemon that wants to take over counts from when it first read the unchanged row.
///
/// A store that came back from an older copy may have lost the row of the present holder. In a new era
/// no daemon takes over before a lease that was acknowledged in the era before has expired.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct SliceLease {
    observed: Option<ObservedRow>,
    held_until: Option<BootTime>,
    /// Whether this daemon has given up the lease for good.
    released: bool,
    /// Era of the observed version.
    era: Era,
    /// When the lease may be taken over in the era; `None` if the era is unstated.
    takeover_from: Option<BootTime>,
    is_first_start: bool,
}

impl SliceLease {
    /// Records that the whole fleet starts for the first time, so that a lease that is absent from the
    /// store has never been held.
    pub fn set_first_start(&mut self) {
        self.is_first_start = true;
    }

    /// Records the era of the store; returns whether it is a new one. A lease that is held stays held
    /// until its term is over, and can be renewed once the row has been read in the new era.
    pub fn see_era(&mut self, era: Era, now: BootTime) -> bool {
        if era <= self.era {
            return false;
        }
        // The fleet may have run before the first era that was seen by this daemon, unless it starts
        // for the first time.
        self.is_first_start &= !self.era.is_stated() && self.observed.is_none();
        self.era = era;
        self.takeover_from = Some(now + LEASE_TERM + MARGIN);
        self.observed = None;
        if !self.is_held(now) {
            self.held_until = None;
        }
        true
    }

    /// Returns the era of the observed version.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns whether the row has not been read in the era.
    pub fn is_unread(&self) -> bool {
        self.observed.is_none()
    }

    /// Updates the state from the row as read: its version, 0 if it is absent, and whether this
    /// daemon wrote it, in this or an earlier incarnation (`is_own`).
    pub fn observe(&mut self, version: u64, is_own: bool, now: BootTime) {
        if self.released || self.observed.is_some_and(|s| s.version == version) {
            return;
        }
        // The first row read in an era says nothing about a lease that was acknowledged before.
        if !(self.is_unread() && self.is_held(now)) {
            self.held_until = None;
        }
        self.observed = Some(ObservedRow {
            version,
            since: now,
            claim: if is_own {
                RowClaim::OwnDaemon
            } else {
                RowClaim::Unknown
            },
        });
    }

    /// Returns the version that the row must have for a write that acquires or renews the lease;
    /// `None` while another daemon may hold the lease.
    pub fn acquirable_version(&self, now: BootTime) -> Option<u64> {
        let observed = self.observed?;
        let expired = now.since(observed.since) >= LEASE_TERM + MARGIN;
        let is_free = observed.version == 0 || expired;
        let is_acquirable = if let Some(takeover_from) = self.takeover_from {
            // A row of this daemon does not show that no other daemon holds the lease: a late write of an
            // earlier era may have replaced a row that had the expected version again.
            let may_take_over = now >= takeover_from || self.was_never_held();
            let is_released = observed.claim == RowClaim::Released;
            self.is_held(now) || is_released || (is_free && may_take_over)
        } else {
            is_free || observed.claim != RowClaim::Unknown || self.held_until.is_some()
        };
        is_acquirable.then_some(observed.version)
    }

    /// Returns the time until a lease that is not renewed meanwhile has expired and may be taken over;
    /// zero if the row has not been read.
    pub fn time_until_expiry(&self, now: BootTime) -> Duration {
        let Some(observed) = self.observed else {
            return Duration::ZERO;
        };
        let expiry = observed.since + LEASE_TERM + MARGIN;
        let takeover = self.takeover_from.map_or(expiry, |from| from.max(expiry));
        takeover.since(now)
    }

    /// Returns whether no daemon has ever held the lease. The row may also be absent because the store
    /// lost it.
    pub fn was_never_held(&self) -> bool {
        let is_absent = self.observed.is_some_and(|s| s.version == 0);
        is_absent && (self.takeover_from.is_none() || self.is_first_start)
    }

    /// Records that a write that was sent at `sent`, when the lease's era was `sent_in`, was committed
    /// as `version`. A write that was sent in an earlier era renews a lease that is held, but takes none
    /// over: it may have replaced the row of a copy that lacks the present holder. A commit of an era
    /// before the newest one changes nothing. Returns whether the daemon is the holder.
    pub fn record_commit(
        &mut self,
        version: StoreVersion,
        sent: BootTime,
        sent_in: Era,
        now: BootTime,
    ) -> bool {
        self.see_era(version.era, now);
        if version.era != self.era {
            return false;
        }
        if sent_in != self.era && !self.is_held(now) {
            self.observe(version.number, true, now);
            return false;
        }
        self.record_write(version.number, sent);
        self.is_holder()
    }

    /// Records that a write that was sent at `sent` was committed.
    pub fn record_write(&mut self, version: u64, sent: BootTime) {
        if self.released {
            return;
        }
        self.observed = Some(ObservedRow {
            version,
            since: sent,
            claim: RowClaim::Unknown,
        });
        self.held_until = Some(sent + LEASE_TERM);
    }

    /// Records that a write of this incarnation was committed although its response was lost; the
    /// term is not extended. In a stated era this is certain only while the lease is held.
    pub fn adopt_own_write(&mut self, version: u64, now: BootTime) {
        if self.era.is_stated() && !self.is_held(now) {
            return self.observe(version, true, now);
        }
        if let Some(observed) = &mut self.observed {
            observed.version = version;
            observed.claim = RowClaim::OwnDaemon;
        }
    }

    /// Records that another daemon has written the row.
    pub fn mark_lost(&mut self) {
        self.observed = None;
        self.held_until = None;
    }

    /// Gives up a held lease for good, and returns the version of its row, which entitles a
    /// successor to acquire it before the term is over; `None` if the lease is not held, or its row
    /// has not been read in the era, so that no version of it is known.
    pub fn release(&mut self, now: BootTime) -> Option<StoreVersion> {
        let version = self.observed_version().filter(|_| self.is_held(now))?;
        self.mark_lost();
        self.released = true;
        Some(version)
    }

    /// Records that the holder has released the lease while its row had this version, and returns
    /// whether this daemon may acquire it.
    ///
    /// The holder may have released it to several daemons. Only one of their writes can find the row
    /// unchanged. A release of an earlier era is refused, as the row may have the version again. One
    /// of a later era is the first sight of that era; a daemon that does not read the store may learn
    /// of it in this way only.
    pub fn accept_release(&mut self, version: StoreVersion, now: BootTime) -> bool {
        if self.released || self.is_holder() {
            return false;
        }
        self.see_era(version.era, now);
        let is_newer_known = self.observed.is_some_and(|o| o.version > version.number);
        if version.era != self.era || is_newer_known {
            return false;
        }
        self.is_first_start = false;
        self.observed = Some(ObservedRow {
            version: version.number,
            since: now,
            claim: RowClaim::Released,
        });
        true
    }

    /// Returns the version of the row as last read or written.
    pub fn observed_version(&self) -> Option<StoreVersion> {
        let observed = self.observed?;
        Some(StoreVersion::new(self.era, observed.version))
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
