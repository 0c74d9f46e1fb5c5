//! Committing edits to the table service.

use std::time::Duration;

use crate::{
    catalog::{Change, Edit, EditId},
    platform::{Committed, PlatformError, Row, RowCheck, Table, Transaction},
};

use super::{
    rows::{edit_key, edit_writes, head_key, Head},
    EditAnswer, EditRequest,
};

/// Tries of an edit without a revision of its own against racing edits.
const RACE_TRIES: u32 = 8;
/// Tries to find out what became of a write whose answer was lost.
const RESOLVE_TRIES: u32 = 5;
/// Time between two such tries.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(300);

enum Attempt {
    Committed(u64),
    Raced { current: u64 },
    Failed,
    Unknown,
}

/// Commits an edit and tells truthfully what became of it.
pub(super) async fn commit_edit(table: &dyn Table, req: &EditRequest) -> EditAnswer {
    if let Err(expected) = check(&req.changes) {
        let expected = expected.to_owned();
        return EditAnswer::Invalid { expected };
    }
    let mut current = 0;
    for _ in 0..RACE_TRIES {
        match try_commit(table, req).await {
            Attempt::Committed(revision) => return EditAnswer::Accepted { revision },
            Attempt::Failed => return EditAnswer::Unavailable,
            Attempt::Unknown => return EditAnswer::Unknown,
            Attempt::Raced { current: now } => current = now,
        }
        if req.from_revision.is_some() {
            break;
        }
    }
    EditAnswer::Stale { current }
}

fn check(changes: &[Change]) -> Result<(), &'static str> {
    if changes.is_empty() {
        return Err("changes: expected at least one");
    }
    changes.iter().try_for_each(Change::check)
}

async fn try_commit(table: &dyn Table, req: &EditRequest) -> Attempt {
    let Ok(head) = read_row(table).await else {
        return Attempt::Failed;
    };
    let version = head.as_ref().map_or(0, |row| row.version);
    let current = match head.map(|row| serde_json::from_value::<Head>(row.value)) {
        None => 0,
        Some(Ok(head)) => head.revision,
        Some(Err(_)) => return Attempt::Failed,
    };
    if req.from_revision.is_some_and(|from| from != current) {
        return Attempt::Raced { current };
    }
    let edit = Edit {
        revision: current + 1,
        id: new_edit_id(),
        changes: req.changes.clone(),
    };
    let tx = Transaction {
        checks: vec![RowCheck {
            table: head_key().table,
            key: head_key().key,
            version,
        }],
        writes: edit_writes(&edit),
    };
    match table.transact(&tx).await {
        Ok(Committed::Yes) => Attempt::Committed(edit.revision),
        Ok(Committed::No) => Attempt::Raced { current },
        Err(PlatformError::Refused) => Attempt::Failed,
        Err(PlatformError::NoAnswer | PlatformError::BadAnswer) => {
            resolve(table, &edit, current).await
        }
    }
}

async fn read_row(table: &dyn Table) -> Result<Option<Row>, PlatformError> {
    let rows = table.read(&[head_key()]).await?;
    Ok(rows.into_iter().next().flatten())
}

/// Finds out what became of a write whose answer was lost.
///
/// An absent row proves nothing yet, since the write may still be under way. Only another edit
/// under the same revision proves that it can no longer take effect.
async fn resolve(table: &dyn Table, edit: &Edit, current: u64) -> Attempt {
    for _ in 0..RESOLVE_TRIES {
        let rows = table.read(&[edit_key(edit.revision)]).await;
        if let Ok(Some(row)) = rows.map(|rows| rows.into_iter().next().flatten()) {
            return match serde_json::from_value::<Edit>(row.value) {
                Ok(found) if found.id == edit.id => Attempt::Committed(edit.revision),
                Ok(_) => Attempt::Raced { current },
                Err(_) => Attempt::Unknown,
            };
        }
        monoio::time::sleep(RESOLVE_INTERVAL).await;
    }
    Attempt::Unknown
}

fn new_edit_id() -> EditId {
    let mut bytes = [0; 16];
    if getrandom::fill(&mut bytes).is_err() {
        fastrand::fill(&mut bytes);
    }
    EditId(bytes)
}
