//! The task that follows one table of the store.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    store::{read_part, Era, FeedResponse, RowStore, StoreError, StoreVersion, StoredRow},
};

use super::{FollowedTable, ReaderRole, SharedReaderRole, StoreConnectivity};

/// Longest backoff after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Longest backoff after repeated failures; short, so that a daemon recovers soon after the store.
const MAX_BACKOFF: Duration = Duration::from_millis(600);
/// Time between two calls of a daemon that reads for itself only; a proof counts as fresh for
/// longer than this.
const ALONE_INTERVAL: Duration = Duration::from_secs(1);

/// Options for following a table.
#[derive(Debug, Clone)]
pub struct FollowOptions {
    /// The parts of the table that hold rows.
    pub parts: Vec<String>,
    /// Longest time that the store holds a call open until a change; a call without one takes this
    /// long.
    pub long_poll: Duration,
    /// Pause after a change, so that further changes arrive in one batch.
    pub batch_delay: Duration,
    /// Whether this table's task reports the store's responses and reconnects to the other tasks.
    pub tracks_connectivity: bool,
}

/// The times of one call to the store.
#[derive(Debug, Clone, Copy)]
pub struct ResponseTiming {
    /// When the call was sent.
    pub sent: BootTime,
    /// When the response arrived.
    pub received: BootTime,
    /// The store's steady clock as stated in the response.
    pub store_time: Duration,
    /// Era of the store in which the response was made.
    pub era: Era,
}

/// The era of the rows that a sink receives.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EraRows {
    /// The era.
    pub era: Era,
    /// Version of the first full read of the era. Rows that are not newer may have been written in an
    /// earlier one; `None` while the era is unstated.
    pub start: Option<u64>,
    /// Keys of the rows that stay in force from an earlier era, which the sink received there. Their
    /// versions are not of this era.
    pub retained: BTreeSet<String>,
}

impl EraRows {
    /// Returns the version of a row that was received in this era.
    pub fn version(&self, row: &StoredRow) -> StoreVersion {
        StoreVersion::new(self.era, row.version)
    }

    /// Returns whether a row of this era may have been written in an earlier one.
    pub fn may_be_restored(&self, row: &StoredRow) -> bool {
        self.start.is_some_and(|start| row.version <= start)
    }
}

/// Receives the contents of a followed table.
pub trait TableSink {
    /// Replaces all rows of the table.
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime);

    /// Applies the rows that changed; there may be none.
    fn apply(&self, rows: Vec<StoredRow>, now: BootTime);

    /// Returns for how long a row that the daemon holds stays in force if the store came back from an
    /// older copy without that row; `None` if neither that nor an older value is to be bridged.
    fn grace(&self, _: &str) -> Option<Duration> {
        None
    }

    /// Called before the rows of a full read are passed on, if they are of a store that states eras.
    fn set_era(&self, _: &EraRows) {}

    /// Called after the changes of a response from the store itself have been applied.
    fn on_response(&self, _: &ResponseTiming) {}

    /// Called when a call to the store failed.
    fn on_failure(&self, now: BootTime);
}

/// Dependencies of [`follow_table`].
#[derive(Clone)]
pub struct FollowParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// This daemon's connectivity to the store.
    pub connectivity: StoreConnectivity,
    /// Whether this daemon reads the store.
    pub role: SharedReaderRole,
}

struct Follower {
    parts: FollowParts,
    opts: FollowOptions,
    table: Rc<FollowedTable>,
    failures: u32,
}

/// Reads all rows of a table and follows its changes while the daemon's role requires it. Runs
/// until the daemon exits.
pub async fn follow_table(parts: FollowParts, table: Rc<FollowedTable>, opts: FollowOptions) {
    let mut follower = Follower {
        parts,
        opts,
        table,
        failures: 0,
    };
    loop {
        let waited = follower.wait_until_needed().await;
        let res = match follower.followed_version() {
            Some(version) => follower.poll_changes(version, waited).await,
            None => follower.read_all().await,
        };
        if let Err(e) = res {
            follower.on_failure(e).await;
        }
    }
}

impl Follower {
    /// Waits until this daemon must read the store; returns whether it had to wait.
    async fn wait_until_needed(&self) -> bool {
        self.parts.role.wait_until_needed().await
    }

    /// Returns the version from which to poll for changes; `None` if a full read is needed, as after
    /// another task has learned of a new era of the store.
    fn followed_version(&self) -> Option<StoreVersion> {
        let is_current = self.table.era() >= self.parts.store.era();
        self.table.version().filter(|_| is_current)
    }

    async fn read_all(&mut self) -> Result<(), StoreError> {
        let mut all: Vec<StoredRow> = Vec::new();
        let mut first: Option<(StoreVersion, ResponseTiming)> = None;
        for part in &self.opts.parts {
            let sent = self.parts.clock.now();
            let read = read_part(&*self.parts.store, self.table.name(), part).await?;
            if first.is_some_and(|(version, _)| version.era != read.version.era) {
                // The next attempt reads all parts in the new era.
                return Err(StoreError::BadAnswer);
            }
            let timing = self.timing(sent, read.store_time, read.version.era);
            // Following starts at the version of the first page, so that changes made between two
            // pages are not missed.
            first.get_or_insert((read.version, timing));
            all.extend(read.rows);
        }
        let Some((version, timing)) = first else {
            return Ok(());
        };
        self.on_success();
        if self.table.replace(all, version, timing.received) {
            self.table.sink().on_response(&timing);
        }
        Ok(())
    }

    /// Polls once for changes; if the store has compacted them, the next read fetches all rows.
    async fn poll_changes(
        &mut self,
        version: StoreVersion,
        waited: bool,
    ) -> Result<(), StoreError> {
        let wait = self.next_wait(waited);
        let sent = self.parts.clock.now();
        let seen = self.parts.connectivity.reconnects();
        let name = self.table.name();
        let res = monoio::select! {
            res = self.parts.store.poll_changes(name, version.number, wait) => res?,
            () = self.reconnect_by_other(seen) => return Ok(()),
        };
        let page = match res {
            FeedResponse::Changed(page) => page,
            FeedResponse::HistoryCompacted => {
                log::info!(table = name, version:? = version; "history compacted, reading all rows");
                self.table.invalidate();
                return Ok(());
            }
        };
        self.on_success();
        let timing = self.timing(sent, page.store_time, page.version.era);
        let changed = !page.rows.is_empty();
        let applied = (self.table).apply(page.rows, version, page.version, timing.received);
        if applied {
            self.table.sink().on_response(&timing);
        }
        self.pause(changed).await;
        Ok(())
    }

    async fn pause(&self, changed: bool) {
        if self.opts.tracks_connectivity && self.parts.role.get() == ReaderRole::Alone {
            sleep(ALONE_INTERVAL).await;
        } else if changed {
            sleep(self.opts.batch_delay).await;
        }
    }

    /// Returns how long the store may hold the next call open. An immediate response is needed
    /// after a failure or a time without reading, and where no other daemon supplies proofs.
    fn next_wait(&self, waited: bool) -> Duration {
        let alone = self.opts.tracks_connectivity && self.parts.role.get() == ReaderRole::Alone;
        if self.failures > 0 || waited || alone {
            Duration::ZERO
        } else {
            self.time_until_release().min(self.opts.long_poll)
        }
    }

    /// Returns the time after which a call must return so that rows of an earlier era are released in
    /// time.
    fn time_until_release(&self) -> Duration {
        let now = self.parts.clock.now();
        let release = self.table.next_release();
        release.map_or(Duration::MAX, |at| at.since(now))
    }

    /// Waits until another task detects a reconnect to the store.
    async fn reconnect_by_other(&self, seen: u64) {
        if self.opts.tracks_connectivity {
            std::future::pending::<()>().await;
        }
        self.parts.connectivity.wait_for_reconnect(seen).await;
    }

    fn timing(&self, sent: BootTime, store_time: Duration, era: Era) -> ResponseTiming {
        ResponseTiming {
            sent,
            received: self.parts.clock.now(),
            store_time,
            era,
        }
    }

    fn on_success(&mut self) {
        if self.opts.tracks_connectivity {
            self.parts
                .connectivity
                .record_response(self.parts.clock.now());
            // The other tasks may wait for changes of an earlier era.
            if self.table.era() < self.parts.store.era() {
                self.parts.connectivity.record_reconnect();
            }
        }
        if self.failures > 0 {
            let (table, failures) = (self.table.name(), self.failures);
            log::info!(table = table, failures = failures; "store reachable again");
            if self.opts.tracks_connectivity {
                self.parts.connectivity.record_reconnect();
            }
        }
        self.failures = 0;
    }

    async fn on_failure(&mut self, e: StoreError) {
        if self.failures == 0 {
            let (table, reason) = (self.table.name(), e.to_string());
            log::warn!(table = table, reason = reason.as_str(); "store unreachable");
        }
        self.failures += 1;
        self.table.sink().on_failure(self.parts.clock.now());
        sleep(backoff(self.failures)).await;
    }
}

/// Returns a backoff that grows with the failures, with jitter so that daemons do not retry at the
/// same time.
fn backoff(failures: u32) -> Duration {
    let longest = INITIAL_BACKOFF
        .saturating_mul(failures.min(4))
        .min(MAX_BACKOFF);
    longest.mul_f64(0.5 + fastrand::f64() / 2.0)
}
