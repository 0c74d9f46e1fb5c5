//! The task that follows one table of the store.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    store::{FeedResponse, RowPage, RowStore, StoreError, StoredRow},
};

use super::{FollowedTable, ReaderRole, SharedReaderRole, StoreConnectivity};

/// Shortest pause behind a failed call.
const MIN_RETRY: Duration = Duration::from_millis(200);
/// Longest pause behind a failed call, so that a daemon is back soon after the store is.
const MAX_RETRY: Duration = Duration::from_millis(600);
/// Pause behind an answer for a daemon that reads for itself alone; what it proves is taken for
/// fresh longer than this.
const ALONE_PAUSE: Duration = Duration::from_secs(1);

/// How a table is followed.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
    /// Longest time that the store waits for a change; one quiet call takes this long.
    pub long_poll: Duration,
    /// Pause behind a change, in which further ones gather.
    pub batch_delay: Duration,
    /// Whether this table's task tells the others that contact with the store was regained.
    pub tracks_connectivity: bool,
    /// Whether the first reading comes from the store itself, before other daemons are known.
    pub bootstraps: bool,
}

/// When an answer was called for and when it arrived.
#[derive(Debug, Clone, Copy)]
pub struct ResponseTiming {
    /// When the call was sent.
    pub sent: BootTime,
    /// When the answer arrived.
    pub received: BootTime,
    /// The store's steady clock in the answer.
    pub store_time: Duration,
}

/// Takes what is known of a followed table.
pub trait TableSink {
    /// Takes all rows of the table.
    fn replace(&self, rows: Vec<StoredRow>, now: BootTime);

    /// Takes the rows that changed, which may be none.
    fn apply(&self, rows: Vec<StoredRow>, now: BootTime);

    /// Takes note that the store itself answered, behind what its answer changed.
    fn on_response(&self, _: &ResponseTiming) {}

    /// Takes note that a call failed.
    fn on_failure(&self, now: BootTime);
}

/// What following a table needs.
#[derive(Clone)]
pub struct FollowParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// Whether the store answers.
    pub connectivity: StoreConnectivity,
    /// Whether this daemon reads the store.
    pub role: SharedReaderRole,
}

/// Follows one table.
struct Follower {
    parts: FollowParts,
    opts: FollowOptions,
    table: Rc<FollowedTable>,
    failures: u32,
}

/// Reads a table whole and follows its changes while the daemon has that duty, until it ends.
pub async fn follow_table(parts: FollowParts, table: Rc<FollowedTable>, opts: FollowOptions) {
    let mut follower = Follower {
        parts,
        opts,
        table,
        failures: 0,
    };
    loop {
        let waited = follower.wait_for_duty().await;
        let res = match follower.table.version() {
            Some(version) => follower.follow_once(version, waited).await,
            None => follower.read_whole().await,
        };
        if let Err(e) = res {
            follower.note_failure(e).await;
        }
    }
}

impl Follower {
    /// Waits until this daemon must read; tells whether it had to wait.
    async fn wait_for_duty(&self) -> bool {
        let first = self.opts.bootstraps && self.table.version().is_none();
        !first && self.parts.role.wait_until_needed().await
    }

    async fn read_whole(&mut self) -> Result<(), StoreError> {
        let mut all: Vec<StoredRow> = Vec::new();
        let mut first: Option<(u64, ResponseTiming)> = None;
        loop {
            // The smallest key behind the last one read.
            let from = all
                .last()
                .map_or(String::new(), |r| format!("{}%00", r.key));
            let sent = self.parts.clock.now();
            let read = self.parts.store.read(self.table.name(), &from).await?;
            let timing = self.timing(sent, &read);
            // Changes between two pages are followed from the version of the first one.
            let (version, timing) = *first.get_or_insert((read.version, timing));
            all.extend(read.rows);
            if !read.truncated {
                self.note_success();
                self.table.replace(all, version, timing.received);
                self.table.sink().on_response(&timing);
                return Ok(());
            }
        }
    }

    /// Asks for changes once; a store that no longer knows them is read whole next.
    async fn follow_once(&mut self, version: u64, waited: bool) -> Result<(), StoreError> {
        let wait = self.next_wait(waited);
        let sent = self.parts.clock.now();
        let seen = self.parts.connectivity.reconnects();
        let name = self.table.name();
        let answer = monoio::select! {
            answer = self.parts.store.poll_changes(name, version, wait) => answer?,
            () = self.other_regained(seen) => return Ok(()),
        };
        let read = match answer {
            FeedResponse::Changed(read) => read,
            FeedResponse::HistoryCompacted => {
                log::info!(table = name, version = version; "history gone, reading all rows");
                self.table.invalidate();
                return Ok(());
            }
        };
        self.note_success();
        let timing = self.timing(sent, &read);
        let changed = !read.rows.is_empty();
        self.table.apply(read.rows, read.version, timing.received);
        self.table.sink().on_response(&timing);
        self.pause(changed).await;
        Ok(())
    }

    async fn pause(&self, changed: bool) {
        if self.opts.tracks_connectivity && self.parts.role.get() == ReaderRole::Alone {
            sleep(ALONE_PAUSE).await;
        } else if changed {
            sleep(self.opts.batch_delay).await;
        }
    }

    /// Returns how long the store is to wait; an answer at once tells most behind a failure or a
    /// time without reading, and where nobody else proves anything.
    fn next_wait(&self, waited: bool) -> Duration {
        let alone = self.opts.tracks_connectivity && self.parts.role.get() == ReaderRole::Alone;
        if self.failures > 0 || waited || alone {
            Duration::ZERO
        } else {
            self.opts.long_poll
        }
    }

    /// Waits until another task finds that contact with the store was regained.
    async fn other_regained(&self, seen: u64) {
        if self.opts.tracks_connectivity {
            std::future::pending::<()>().await;
        }
        self.parts.connectivity.wait_for_reconnect(seen).await;
    }

    fn timing(&self, sent: BootTime, read: &RowPage) -> ResponseTiming {
        ResponseTiming {
            sent,
            received: self.parts.clock.now(),
            store_time: read.store_time,
        }
    }

    fn note_success(&mut self) {
        if self.opts.tracks_connectivity {
            self.parts
                .connectivity
                .record_response(self.parts.clock.now());
        }
        if self.failures > 0 {
            let (table, failures) = (self.table.name(), self.failures);
            log::info!(table = table, failures = failures; "store regained");
            if self.opts.tracks_connectivity {
                self.parts.connectivity.record_reconnect();
            }
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, e: StoreError) {
        if self.failures == 0 {
            let (table, reason) = (self.table.name(), e.to_string());
            log::warn!(table = table, reason = reason.as_str(); "store lost");
        }
        self.failures += 1;
        self.table.sink().on_failure(self.parts.clock.now());
        sleep(retry_pause(self.failures)).await;
    }
}

/// Returns a random pause, longer behind more failures, so that daemons do not call together.
fn retry_pause(failures: u32) -> Duration {
    let longest = MIN_RETRY.saturating_mul(failures.min(4)).min(MAX_RETRY);
    longest.mul_f64(0.5 + fastrand::f64() / 2.0)
}
