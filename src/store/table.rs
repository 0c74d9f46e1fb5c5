//! The transactional table service.

use std::{future::Future, pin::Pin};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::StoreError;

/// A boxed future returned by a method of a trait object.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Identifies one row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: &'static str,
    /// The key in the table.
    pub key: String,
}

/// One row as read.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Row {
    /// Its value.
    pub value: Value,
    /// Its version, which changes with each write; never 0.
    pub version: u64,
}

/// One row of a scan.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct ScannedRow {
    /// Its key.
    pub key: String,
    /// Its value.
    pub value: Value,
    /// Its version.
    pub version: u64,
}

/// A condition of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RowCheck {
    /// The table.
    pub table: &'static str,
    /// The key in the table.
    pub key: String,
    /// Version that the row must have, 0 if it must be absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RowWrite {
    /// The table.
    pub table: &'static str,
    /// The key in the table.
    pub key: String,
    /// New value; `None` removes the row.
    pub value: Option<Value>,
}

/// Writes that take effect atomically if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub checks: Vec<RowCheck>,
    /// Writes to make if they do.
    pub writes: Vec<RowWrite>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TransactOutcome {
    /// All writes took effect.
    Committed,
    /// A condition did not hold; no write took effect.
    ConditionFailed,
}

/// The transactional table service.
pub trait Table {
    /// Runs a transaction.
    fn transact<'a>(
        &'a self,
        tx: &'a Transaction,
    ) -> BoxFuture<'a, Result<TransactOutcome, StoreError>>;

    /// Reads rows in the order of `keys`; an absent row yields `None`.
    fn read<'a>(
        &'a self,
        keys: &'a [RowKey],
    ) -> BoxFuture<'a, Result<Vec<Option<Row>>, StoreError>>;

    /// Reads up to `limit` rows of a table with keys greater than `after`, in key order.
    fn scan<'a>(
        &'a self,
        table: &'static str,
        after: &'a str,
        limit: usize,
    ) -> BoxFuture<'a, Result<Vec<ScannedRow>, StoreError>>;
}
