//! The interface to a store of versioned rows with a feed of changes.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::{BoxFuture, Era, StoreError, StoreVersion};

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its value; `None` if the row was removed.
    pub value: Option<Bytes>,
    /// Its version, which changes with each write.
    pub version: u64,
}

/// Rows as of one version of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPage {
    /// The rows that were read or that changed.
    pub rows: Vec<StoredRow>,
    /// Newest version of the store at the time of the read; those of the rows are of the same era.
    pub version: StoreVersion,
    /// The store's steady clock at the time of the read.
    pub store_time: Duration,
    /// Whether there are more rows after the last one.
    pub truncated: bool,
}

/// The response to a poll for changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedResponse {
    /// The rows that changed; empty if none did within the waiting time.
    Changed(RowPage),
    /// The store has discarded the changes since the requested version.
    HistoryCompacted,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPut {
    /// The table.
    pub table: &'static str,
    /// Part of the table; the store performs the writes to one part one after another.
    pub part: String,
    /// The key.
    pub key: String,
    /// Version that the row must have, 0 if it must be absent; `None` writes unconditionally.
    pub expected: Option<u64>,
    /// The new value.
    pub value: Bytes,
}

impl RowPut {
    /// Creates a write of `value` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] if the value cannot be encoded as JSON; nothing is written.
    pub fn json(
        table: &'static str,
        part: &str,
        key: &str,
        expected: Option<u64>,
        value: &impl Serialize,
    ) -> Result<Self, StoreError> {
        let value = serde_json::to_vec(value).map_err(|_| StoreError::Refused)?;
        Ok(Self {
            table,
            part: part.to_owned(),
            key: key.to_owned(),
            expected,
            value: Bytes::from(value),
        })
    }
}

/// The outcome of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written.
    Committed {
        /// New version of the rows.
        version: StoreVersion,
    },
    /// A row had another version than expected; nothing was written. Holds the current state of
    /// all rows with an expected version.
    Conflict(Vec<StoredRow>),
}

/// A store of versioned rows.
///
/// A response of an earlier era than the newest one known is treated as a failed call.
pub trait RowStore {
    /// Returns the newest era that a response stated.
    fn era(&self) -> Era;

    /// Reads the rows of a part of a table from the key `from` on, in key order.
    fn read<'a>(
        &'a self,
        table: &'a str,
        part: &'a str,
        from: &'a str,
    ) -> BoxFuture<'a, Result<RowPage, StoreError>>;

    /// Returns the rows in all parts of a table that changed after the version `after`, waiting up to `wait`
    /// for the first one.
    fn poll_changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedResponse, StoreError>>;

    /// Writes all rows, which are of one part, or none of them.
    fn write<'a>(&'a self, puts: &'a [RowPut]) -> BoxFuture<'a, Result<WriteOutcome, StoreError>>;
}
