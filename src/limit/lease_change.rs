//! Conditional changes of session and slice rows.

use crate::{
    lease::{SessionId, SessionRow, SliceId, SliceRow},
    store::{RowCheck, RowWrite, Transaction},
};

/// Table of the sessions, one row per session.
pub const SESSIONS_TABLE: &str = "limit_sessions";
/// Table of the slices, one row per slice.
pub const SLICES_TABLE: &str = "limit_slices";

/// A conditional change of a slice row.
#[derive(Debug, Clone, PartialEq)]
pub struct SliceChange {
    /// The slice.
    pub slice: SliceId,
    /// Version that the row must have, 0 if it must be absent.
    pub version: u64,
    /// The new row.
    pub row: SliceRow,
    /// Another session and the version that its row must have, 0 if it must be absent.
    pub session_check: Option<(SessionId, u64)>,
}

/// A conditional change of a session row.
#[derive(Debug, Clone, PartialEq)]
pub struct SessionChange {
    /// The session.
    pub session: SessionId,
    /// Version that the row must have.
    pub version: u64,
    /// The new row; `None` removes it.
    pub row: Option<SessionRow>,
}

/// A conditional change of one row, proposed by an owner.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseChange {
    /// Changes the owner of a slice, or the portions that it owns.
    Slice(SliceChange),
    /// Fences, removes or renews a session.
    Session(SessionChange),
}

impl LeaseChange {
    /// Adds the conditions and writes of this change to a transaction.
    pub fn add_to(&self, tx: &mut Transaction) {
        match self {
            Self::Slice(change) => {
                add_check(tx, SLICES_TABLE, change.slice.key(), change.version);
                if let Some((session, version)) = &change.session_check {
                    add_check(tx, SESSIONS_TABLE, session.as_str().to_owned(), *version);
                }
                tx.writes.push(RowWrite {
                    table: SLICES_TABLE,
                    key: change.slice.key(),
                    value: serde_json::to_value(&change.row).ok(),
                });
            }
            Self::Session(change) => {
                let key = change.session.as_str().to_owned();
                add_check(tx, SESSIONS_TABLE, key.clone(), change.version);
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

/// Adds a version check unless the transaction already contains it.
fn add_check(tx: &mut Transaction, table: &'static str, key: String, version: u64) {
    let check = RowCheck {
        table,
        key,
        version,
    };
    if !tx.checks.contains(&check) {
        tx.checks.push(check);
    }
}
