//! The task that follows one table of the store.

use std::{rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    store::{FeedRead, RowStore, RowsRead, StoreError, StoredRow},
};

use super::{PeerProofs, StoreContact};

/// Shortest pause behind a failed call.
const MIN_RETRY: Duration = Duration::from_millis(200);
/// Longest pause behind a failed call, so that a daemon is back soon after the store is.
const MAX_RETRY: Duration = Duration::from_millis(600);

/// How a table is followed.
#[derive(Debug, Clone, Copy)]
pub struct FollowOptions {
    /// The table.
    pub table: &'static str,
    /// Longest time that the store waits for a change; one quiet call takes this long.
    pub wait: Duration,
    /// Pause behind a change, in which further ones gather.
    pub gather: Duration,
    /// Whether this table's task tells the others that contact with the store was regained.
    pub leads: bool,
}

/// When an answer was called for and when it arrived.
#[derive(Debug, Clone, Copy)]
pub struct Answered {
    /// When the call was sent.
    pub sent: BootTime,
    /// When the answer arrived.
    pub received: BootTime,
    /// The store's steady clock in the answer.
    pub store_time: Duration,
}

/// Takes what is read of a followed table.
pub trait TableSink {
    /// Takes all rows of the table.
    fn replace(&self, rows: Vec<StoredRow>, answered: &Answered);

    /// Takes the rows that changed, which may be none.
    fn apply(&self, rows: Vec<StoredRow>, answered: &Answered);

    /// Takes note that a call failed.
    fn lost(&self, now: BootTime);
}

/// Follows one table.
struct Follower {
    store: Rc<dyn RowStore>,
    opts: FollowOptions,
    sink: Rc<dyn TableSink>,
    clock: Rc<dyn Clock>,
    contact: StoreContact,
    /// Spares calls while other daemons prove what this table holds.
    proofs: Option<PeerProofs>,
    failures: u32,
}

/// Reads a table whole and follows its changes, until the daemon ends.
pub async fn follow_table(
    store: Rc<dyn RowStore>,
    opts: FollowOptions,
    sink: Rc<dyn TableSink>,
    clock: Rc<dyn Clock>,
    contact: StoreContact,
    proofs: Option<PeerProofs>,
) {
    let mut follower = Follower {
        store,
        opts,
        sink,
        clock,
        contact,
        proofs,
        failures: 0,
    };
    loop {
        let version = follower.read_until_whole().await;
        follower.follow_from(version).await;
    }
}

impl Follower {
    /// Reads the whole table, and returns the version behind which changes follow.
    async fn read_until_whole(&mut self) -> u64 {
        loop {
            match self.read_whole().await {
                Ok((rows, version, answered)) => {
                    self.note_success();
                    self.sink.replace(rows, &answered);
                    return version;
                }
                Err(e) => self.note_failure(e).await,
            }
        }
    }

    async fn read_whole(&self) -> Result<(Vec<StoredRow>, u64, Answered), StoreError> {
        let mut all: Vec<StoredRow> = Vec::new();
        let mut first: Option<(u64, Answered)> = None;
        loop {
            // The smallest key behind the last one read.
            let from = all
                .last()
                .map_or(String::new(), |r| format!("{}%00", r.key));
            let sent = self.clock.now();
            let read = self.store.read(self.opts.table, &from).await?;
            let answered = self.answered(sent, &read);
            // Changes between two pages are followed from the version of the first one.
            let (version, answered) = *first.get_or_insert((read.version, answered));
            all.extend(read.rows);
            if !read.truncated {
                return Ok((all, version, answered));
            }
        }
    }

    /// Follows changes until the store no longer knows them.
    async fn follow_from(&mut self, mut version: u64) {
        loop {
            let wait = self.next_wait().await;
            let sent = self.clock.now();
            let table = self.opts.table;
            let seen = self.contact.regained();
            let answer = monoio::select! {
                answer = self.store.follow(table, version, wait) => answer,
                () = self.other_regained(seen) => continue,
            };
            match answer {
                Ok(FeedRead::Changed(read)) => {
                    self.note_success();
                    let answered = self.answered(sent, &read);
                    version = read.version.max(version);
                    let changed = !read.rows.is_empty();
                    self.sink.apply(read.rows, &answered);
                    if changed {
                        sleep(self.opts.gather).await;
                    }
                }
                Ok(FeedRead::HistoryGone) => {
                    log::info!(table = table, version = version; "history gone, reading all rows");
                    return;
                }
                Err(e) => self.note_failure(e).await,
            }
        }
    }

    /// Returns how long the store is to wait, once this daemon must call it; behind a failure, or
    /// when other daemons prove nothing, an answer at once tells most.
    async fn next_wait(&self) -> Duration {
        let reads_for_others = match &self.proofs {
            Some(proofs) => proofs.relieve().await,
            None => true,
        };
        if self.failures > 0 || !reads_for_others {
            Duration::ZERO
        } else {
            self.opts.wait
        }
    }

    /// Waits until another task finds that contact with the store was regained.
    async fn other_regained(&self, seen: u64) {
        if self.opts.leads {
            std::future::pending::<()>().await;
        }
        self.contact.regained_since(seen).await;
    }

    fn answered(&self, sent: BootTime, read: &RowsRead) -> Answered {
        Answered {
            sent,
            received: self.clock.now(),
            store_time: read.store_time,
        }
    }

    fn note_success(&mut self) {
        if self.failures > 0 {
            let (table, failures) = (self.opts.table, self.failures);
            log::info!(table = table, failures = failures; "store regained");
            if self.opts.leads {
                self.contact.note_regained();
            }
        }
        self.failures = 0;
    }

    async fn note_failure(&mut self, e: StoreError) {
        if self.failures == 0 {
            let (table, reason) = (self.opts.table, e.to_string());
            log::warn!(table = table, reason = reason.as_str(); "store lost");
        }
        self.failures += 1;
        self.sink.lost(self.clock.now());
        sleep(retry_pause(self.failures)).await;
    }
}

/// Returns a random pause, longer behind more failures, so that daemons do not call together.
fn retry_pause(failures: u32) -> Duration {
    let longest = MIN_RETRY.saturating_mul(failures.min(4)).min(MAX_RETRY);
    longest.mul_f64(0.5 + fastrand::f64() / 2.0)
}
