//! The border to a store of versioned rows whose changes can be followed.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use super::{BoxFuture, StoreError};

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRow {
    /// Its key.
    pub key: String,
    /// Its value; none when the row was removed.
    pub value: Option<Bytes>,
    /// Its version, which changes with each write.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPage {
    /// The rows, or the changed ones.
    pub rows: Vec<StoredRow>,
    /// Newest version of the store at that moment.
    pub version: u64,
    /// The store's steady clock at that moment.
    pub store_time: Duration,
    /// Whether there are more rows behind the last one.
    pub truncated: bool,
}

/// The answer to a call that follows a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FeedResponse {
    /// The rows that changed; none within the time to wait when there are none.
    Changed(RowPage),
    /// The store no longer knows the changes since that version.
    HistoryCompacted,
}

/// A write of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RowPut {
    /// The table.
    pub table: &'static str,
    /// The key.
    pub key: String,
    /// Version that the row must have, 0 when it must be absent; none writes whatever it is.
    pub expected: Option<u64>,
    /// The new value.
    pub value: Bytes,
}

impl RowPut {
    /// Makes the write of `value` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Refused`] when the value has no form in JSON; nothing is written.
    pub fn json(
        table: &'static str,
        key: &str,
        expected: Option<u64>,
        value: &impl Serialize,
    ) -> Result<Self, StoreError> {
        let value = serde_json::to_vec(value).map_err(|_| StoreError::Refused)?;
        Ok(Self {
            table,
            key: key.to_owned(),
            expected,
            value: Bytes::from(value),
        })
    }
}

/// The answer to a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// All rows were written; they have this version.
    Committed {
        /// Version of the rows.
        version: u64,
    },
    /// A row had another version; nothing was written. These are the rows whose versions were
    /// given, as they stand.
    Conflict(Vec<StoredRow>),
}

/// A store of versioned rows.
pub trait RowStore {
    /// Reads the rows of a table from the key `from` on, in the order of keys.
    fn read<'a>(
        &'a self,
        table: &'a str,
        from: &'a str,
    ) -> BoxFuture<'a, Result<RowPage, StoreError>>;

    /// Waits for up to `wait` until rows of a table changed behind the version `after`.
    fn poll_changes<'a>(
        &'a self,
        table: &'a str,
        after: u64,
        wait: Duration,
    ) -> BoxFuture<'a, Result<FeedResponse, StoreError>>;

    /// Writes all rows, or none of them.
    fn write<'a>(&'a self, puts: &'a [RowPut]) -> BoxFuture<'a, Result<WriteOutcome, StoreError>>;
}
