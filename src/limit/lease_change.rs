//! Changes of the table that an owner wants.

use crate::{
    lease::{SessionId, SessionRow, SliceId, SliceRow},
    store::{RowCheck, RowWrite, Transaction},
};

/// Table of the sessions, one row a process.
pub const SESSIONS_TABLE: &str = "limit_sessions";
/// Table of the slices, one row a slice.
pub const SLICES_TABLE: &str = "limit_slices";

/// A slice row that changes on conditions.
#[derive(Debug, Clone, PartialEq)]
pub struct SliceChange {
    /// The slice.
    pub slice: SliceId,
    /// Version that the row must have, 0 when it must be absent.
    pub version: u64,
    /// The new row.
    pub row: SliceRow,
    /// Another session, and the version that its row must have.
    pub session_check: Option<(SessionId, u64)>,
}

/// A session row that changes on its version.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionChange {
    /// The session.
    pub session: SessionId,
    /// Version that the row must have.
    pub version: u64,
    /// The new row; none removes it.
    pub row: Option<SessionRow>,
}

/// A change of the table that an owner wants.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseChange {
    /// Changes who owns a slice, or how much of it.
    Slice(SliceChange),
    /// Fences, removes or renews a session.
    Session(SessionChange),
}

impl LeaseChange {
    /// Adds the step's conditions and writes to a transaction.
    pub fn add_to(&self, tx: &mut Transaction) {
        match self {
            Self::Slice(change) => {
                check(tx, SLICES_TABLE, change.slice.key(), change.version);
                if let Some((other, version)) = &change.session_check {
                    check(tx, SESSIONS_TABLE, other.as_str().to_owned(), *version);
                }
                tx.writes.push(RowWrite {
                    table: SLICES_TABLE,
                    key: change.slice.key(),
                    value: serde_json::to_value(&change.row).ok(),
                });
            }
            Self::Session(change) => {
                let key = change.session.as_str().to_owned();
                check(tx, SESSIONS_TABLE, key.clone(), change.version);
                let row = change.row.as_ref();
                tx.writes.push(RowWrite {
                    table: SESSIONS_TABLE,
                    key,
                    value: row.and_then(|row| serde_json::to_value(row).ok()),
                });
            }
        }
    }
}

/// Adds a condition once.
fn check(tx: &mut Transaction, table: &'static str, key: String, version: u64) {
    let check = RowCheck {
        table,
        key,
        version,
    };
    if !tx.checks.contains(&check) {
        tx.checks.push(check);
    }
}
