//! The task that acquires and renews the lease of the local data centre's slice.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::Clock,
    follow::{FLEET_TABLE, MEMBERS_TABLE},
    membership::Incarnation,
    peer::PeerDirectory,
    store::{RowPut, RowStore, StoreError, StoredRow, WriteOutcome},
};

use super::{
    slice_row::SLICES_TABLE, HolderRow, LeaseHolder, LocalSlice, SliceHolders, RENEW_INTERVAL,
};

/// Time after the start of a daemon that gives the other daemons of a new fleet time to register.
const STARTUP_WAIT: Duration = Duration::from_millis(1500);
/// Interval of checks whether the holder is known.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reads of the lease by standbys while the holder may have failed.
const WATCH_INTERVAL: Duration = Duration::from_secs(5);
/// Interval of checks whether the holder is suspected to have failed.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Part of the tables that holds the leases and their announcements.
const PART: &str = "";
/// Number of standby daemons per data centre that may take over its slice.
const STANDBYS: usize = 2;

/// Dependencies of the task.
pub struct LeaseParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// The slice of the local data centre.
    pub slice: LocalSlice,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// The daemons of the fleet.
    pub directory: PeerDirectory,
    /// Data centre of this host.
    pub data_centre: String,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: Rc<dyn Clock>,
}

/// Acquires and renews the lease of the local data centre's slice.
pub struct LeaseTask {
    parts: LeaseParts,
}

impl LeaseTask {
    /// Creates the task with the given dependencies.
    pub fn new(parts: LeaseParts) -> Self {
        Self { parts }
    }

    /// Runs until the daemon ends.
    pub async fn run(self) {
        self.wait_for_fleet().await;
        loop {
            let pause = self.step().await;
            sleep(pause).await;
        }
    }

    /// Waits until the holder of the slice is known, or until the daemons of a new fleet have had
    /// time to register.
    async fn wait_for_fleet(&self) {
        let end = self.parts.clock.now() + STARTUP_WAIT;
        let is_known = || self.parts.holders.holder(&self.parts.data_centre).is_some();
        while !is_known() && self.parts.clock.now() < end {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Acquires, renews or reads the lease once, and returns the time until the next step.
    async fn step(&self) -> Duration {
        let now = self.parts.clock.now();
        let is_holder = self.parts.slice.with_lease(now, |l| l.is_holder());
        let centre = &self.parts.data_centre;
        if !is_holder
            && !self.is_recorded_holder()
            && !self.parts.holders.may_lack_holder(centre, now)
        {
            return SUSPECT_CHECK_INTERVAL;
        }
        if !is_holder && !self.is_standby() {
            return WATCH_INTERVAL;
        }
        if !is_holder && !self.observe_lease().await {
            return RETRY_PAUSE;
        }
        let now = self.parts.clock.now();
        match self
            .parts
            .slice
            .with_lease(now, |l| l.acquirable_version(now))
        {
            Some(expected) => self.write(expected).await,
            None => WATCH_INTERVAL,
        }
    }

    /// Returns whether this host is recorded as the holder, possibly from before a restart.
    fn is_recorded_holder(&self) -> bool {
        let holder = self.parts.holders.holder(&self.parts.data_centre);
        holder.as_deref() == Some(self.parts.directory.own_host())
    }

    /// Returns whether this daemon is one of the standbys that may take over the slice.
    fn is_standby(&self) -> bool {
        let parts = &self.parts;
        if self.is_recorded_holder() {
            return true;
        }
        let own = parts.directory.own_host();
        let holder = parts.holders.holder(&parts.data_centre);
        let score = |host: &str| xxh3_64_with_seed(host.as_bytes(), 0);
        let peers = parts.directory.peers();
        let others = peers.iter().filter(|p| {
            *p.data_centre == *parts.data_centre
                && Some(&*p.host) != holder.as_deref()
                && !p.leaving
        });
        let ahead = others.filter(|p| score(&p.host) < score(own)).count();
        ahead < STANDBYS
    }

    /// Reads the lease and returns whether the read succeeded.
    async fn observe_lease(&self) -> bool {
        let Some(row) = self.read_row().await else {
            return false;
        };
        let now = self.parts.clock.now();
        let version = row.as_ref().map_or(0, |r| r.version);
        let own_host = row.is_some_and(|r| self.is_own_host(&r));
        self.parts
            .slice
            .with_lease(now, |l| l.observe(version, own_host, now));
        true
    }

    /// Reads the row of the lease, which may be absent; `None` if the store cannot be read.
    async fn read_row(&self) -> Option<Option<StoredRow>> {
        let centre = self.parts.data_centre.as_str();
        match self.parts.store.read(SLICES_TABLE, PART, centre).await {
            Ok(read) => Some(read.rows.into_iter().find(|r| r.key == centre)),
            Err(e) => {
                let reason = e.to_string();
                log::warn!(data_centre = centre, reason = reason.as_str();
                    "cannot read slice lease");
                None
            }
        }
    }

    /// Returns whether an incarnation of this host's daemon wrote the row; an earlier one has
    /// ended, because this one serves at its address.
    fn is_own_host(&self, row: &StoredRow) -> bool {
        let own = self.parts.directory.own_host();
        holder_of(row).is_some_and(|h| h.host == own)
    }

    async fn write(&self, expected: u64) -> Duration {
        let parts = &self.parts;
        let sent = parts.clock.now();
        let written = match self.puts(expected) {
            Ok(puts) => parts.store.write(&puts).await,
            Err(e) => Err(e),
        };
        let now = parts.clock.now();
        let centre = parts.data_centre.as_str();
        match written {
            Ok(WriteOutcome::Committed { version }) => {
                let was_held = parts.slice.is_held(now);
                parts
                    .slice
                    .with_lease(now, |l| l.record_write(version, sent));
                if !was_held {
                    log::info!(data_centre = centre, row = version; "slice taken");
                }
                parts.holders.set(centre, parts.directory.own_host());
                RENEW_INTERVAL
            }
            Ok(WriteOutcome::Conflict(_)) => {
                log::info!(data_centre = centre, expected = expected;
                    "slice lease not acquired: the row has changed");
                parts.slice.with_lease(now, |l| l.mark_lost());
                WATCH_INTERVAL
            }
            Err(e) => {
                let reason = e.to_string();
                let held = parts.slice.is_held(now);
                log::warn!(data_centre = centre, held = held, reason = reason.as_str();
                    "cannot acquire or renew slice lease");
                self.read_back().await;
                RETRY_PAUSE
            }
        }
    }

    /// Reads the row after a failed write to determine whether the write was committed.
    async fn read_back(&self) {
        let parts = &self.parts;
        let Some(row) = self.read_row().await else {
            return;
        };
        let now = parts.clock.now();
        let is_own = row.as_ref().is_some_and(|r| self.is_own_incarnation(r));
        parts.slice.with_lease(now, |l| match row {
            // The write was committed; the term still counts from the last acknowledged write.
            Some(row) if is_own => l.adopt_own_write(row.version),
            Some(row) => l.observe(row.version, self.is_own_host(&row), now),
            None => l.observe(0, false, now),
        });
    }

    fn is_own_incarnation(&self, row: &StoredRow) -> bool {
        holder_of(row).is_some_and(|h| h.incarnation == self.parts.incarnation)
    }

    /// Returns the writes that acquire or renew the lease; a new holder is also announced to all
    /// daemons.
    fn puts(&self, expected: u64) -> Result<Vec<RowPut>, StoreError> {
        let parts = &self.parts;
        let centre = parts.data_centre.as_str();
        let host = parts.directory.own_host();
        let holder = LeaseHolder {
            host: host.to_owned(),
            incarnation: parts.incarnation,
        };
        let lease = RowPut::json(SLICES_TABLE, PART, centre, Some(expected), &holder)?;
        if self.is_recorded_holder() {
            return Ok(vec![lease]);
        }
        let announcement = HolderRow {
            host: host.to_owned(),
        };
        // Daemons follow the members, and read the other table when they join.
        let key = HolderRow::key(centre);
        let announce = |table| RowPut::json(table, PART, &key, None, &announcement);
        Ok(vec![
            lease,
            announce(MEMBERS_TABLE)?,
            announce(FLEET_TABLE)?,
        ])
    }
}

/// Returns the holder stored in a lease row; `None` if the row has no value or it cannot be parsed.
fn holder_of(row: &StoredRow) -> Option<LeaseHolder> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(holder) => Some(holder),
        Err(e) => {
            let reason = e.to_string();
            log::warn!(row = row.version, reason = reason.as_str();
                "cannot parse holder of slice lease");
            None
        }
    }
}
