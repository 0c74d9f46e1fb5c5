//! The task that takes and renews the lease of the own data centre's slice.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    clock::Clock,
    follow::MEMBERS_TABLE,
    membership::Incarnation,
    peer::PeerDirectory,
    store::{RowPut, RowStore, StoreError, StoredRow, WriteOutcome},
};

use super::{
    slice_row::SLICES_TABLE, HolderRow, LeaseHolder, LocalSlice, SliceHolders, RENEW_INTERVAL,
};

/// Time behind the start of a daemon in which all others of a fresh fleet register.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Time between two looks at whether the holder is known.
const SETTLE_LOOK: Duration = Duration::from_millis(20);
/// Time between two readings of the lease by those who stand by, while the holder may be gone.
const WATCH_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two looks at whether the holder answers.
const SUSPECT_LOOK: Duration = Duration::from_millis(500);
/// Pause behind a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Daemons of a data centre that stand by to take over its slice.
const STANDBYS: usize = 2;

/// What the task needs.
pub struct LeaseParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// The slice.
    pub slice: LocalSlice,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// The daemons of the fleet.
    pub directory: PeerDirectory,
    /// Data centre of this host.
    pub data_centre: String,
    /// This run of the daemon.
    pub incarnation: Incarnation,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// Takes and renews the lease of the own data centre's slice.
pub struct LeaseTask {
    parts: LeaseParts,
}

impl LeaseTask {
    /// Makes the task of its parts.
    pub fn new(parts: LeaseParts) -> Self {
        Self { parts }
    }

    /// Runs until the daemon ends.
    pub async fn run(self) {
        self.settle().await;
        loop {
            let pause = self.step().await;
            sleep(pause).await;
        }
    }

    /// Waits until the holder of the slice is known, or the daemons of a fresh fleet had time to
    /// register.
    async fn settle(&self) {
        let end = self.parts.clock.now() + SETTLE_TIME;
        let is_known = || self.parts.holders.holder(&self.parts.data_centre).is_some();
        while !is_known() && self.parts.clock.now() < end {
            sleep(SETTLE_LOOK).await;
        }
    }

    /// Takes, renews or watches the lease once, and returns the time until the next step.
    async fn step(&self) -> Duration {
        let now = self.parts.clock.now();
        let holder = self.parts.slice.with_lease(now, |l| l.is_holder());
        let centre = &self.parts.data_centre;
        if !holder && !self.is_named() && !self.parts.holders.may_lack_holder(centre, now) {
            return SUSPECT_LOOK;
        }
        if !holder && !self.stands_by() {
            return WATCH_INTERVAL;
        }
        if !holder && !self.read().await {
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

    /// Tells whether this host is named as the holder, as it was before a restart.
    fn is_named(&self) -> bool {
        let holder = self.parts.holders.holder(&self.parts.data_centre);
        holder.as_deref() == Some(self.parts.directory.own_host())
    }

    /// Tells whether this daemon is among the first that may take the slice over.
    fn stands_by(&self) -> bool {
        let parts = &self.parts;
        if self.is_named() {
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
        let before = others.filter(|p| score(&p.host) < score(own)).count();
        before < STANDBYS
    }

    /// Reads the lease; tells whether it was read.
    async fn read(&self) -> bool {
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

    /// Reads the row of the lease, which may not be there; none when the store does not answer.
    async fn read_row(&self) -> Option<Option<StoredRow>> {
        let centre = self.parts.data_centre.as_str();
        match self.parts.store.read(SLICES_TABLE, centre).await {
            Ok(read) => Some(read.rows.into_iter().find(|r| r.key == centre)),
            Err(e) => {
                let reason = e.to_string();
                log::warn!(data_centre = centre, reason = reason.as_str(); "lease not read");
                None
            }
        }
    }

    /// Tells whether an earlier run of this host's daemon wrote the row; it has ended, since this
    /// one serves at its address.
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
                log::info!(data_centre = centre, expected = expected; "slice not taken");
                parts.slice.with_lease(now, |l| l.mark_lost());
                WATCH_INTERVAL
            }
            Err(e) => {
                let reason = e.to_string();
                let held = parts.slice.is_held(now);
                log::warn!(data_centre = centre, held = held, reason = reason.as_str();
                    "slice not renewed");
                self.read_back().await;
                RETRY_PAUSE
            }
        }
    }

    /// Finds out whether a write without an answer took effect.
    async fn read_back(&self) {
        let parts = &self.parts;
        let Some(row) = self.read_row().await else {
            return;
        };
        let now = parts.clock.now();
        let own = row.as_ref().is_some_and(|r| self.is_own_run(r));
        parts.slice.with_lease(now, |l| match row {
            // The write took effect; the term still counts from the last one that was answered.
            Some(row) if own => l.adopt_own_write(row.version),
            Some(row) => l.observe(row.version, self.is_own_host(&row), now),
            None => l.observe(0, false, now),
        });
    }

    fn is_own_run(&self, row: &StoredRow) -> bool {
        holder_of(row).is_some_and(|h| h.incarnation == self.parts.incarnation)
    }

    /// Returns the writes that take or renew the lease; a new holder is named to all daemons.
    fn puts(&self, expected: u64) -> Result<Vec<RowPut>, StoreError> {
        let parts = &self.parts;
        let centre = parts.data_centre.as_str();
        let host = parts.directory.own_host();
        let holder = LeaseHolder {
            host: host.to_owned(),
            incarnation: parts.incarnation,
        };
        let lease = RowPut::json(SLICES_TABLE, centre, Some(expected), &holder)?;
        if self.is_named() {
            return Ok(vec![lease]);
        }
        let owner = HolderRow {
            host: host.to_owned(),
        };
        let named = RowPut::json(MEMBERS_TABLE, &HolderRow::key(centre), None, &owner)?;
        Ok(vec![lease, named])
    }
}

/// Returns who holds the lease of a row; none when it cannot be read.
fn holder_of(row: &StoredRow) -> Option<LeaseHolder> {
    let value = row.value.as_ref()?;
    match serde_json::from_slice(value) {
        Ok(holder) => Some(holder),
        Err(e) => {
            let reason = e.to_string();
            log::warn!(row = row.version, reason = reason.as_str(); "holder of a lease unreadable");
            None
        }
    }
}
