//! The rows that hold lists and keys in the table service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    catalog::{Change, Edit, EditId, KeyHash, Plan, Route},
    platform::{RowKey, RowWrite, ScannedRow},
};

/// Table of the head row.
pub(super) const META: &str = "meta";
/// Key of the head row.
pub(super) const HEAD: &str = "head";
/// Table of accepted edits, one row a revision.
pub(super) const EDITS: &str = "edits";
/// Table of the list of plans, one row a workspace.
pub(super) const PLANS: &str = "plans";
/// Table of the access list, one row a plan.
pub(super) const ACCESS: &str = "access";
/// Table of keys, one row a hash.
pub(super) const KEYS: &str = "keys";

/// The head row: the newest revision and the edit that led to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) revision: u64,
    pub(super) id: EditId,
}

pub(super) fn head_key() -> RowKey {
    RowKey {
        table: META,
        key: HEAD.to_owned(),
    }
}

pub(super) fn edit_key(revision: u64) -> RowKey {
    RowKey {
        table: EDITS,
        key: format!("{revision:020}"),
    }
}

fn to_value(value: &impl Serialize) -> Option<Value> {
    serde_json::to_value(value).ok()
}

/// Returns all writes of one edit.
pub(super) fn edit_writes(edit: &Edit) -> Vec<RowWrite> {
    let head = Head {
        revision: edit.revision,
        id: edit.id,
    };
    let edit_row = edit_key(edit.revision);
    let mut writes = vec![
        RowWrite {
            table: META,
            key: HEAD.to_owned(),
            value: to_value(&head),
        },
        RowWrite {
            table: edit_row.table,
            key: edit_row.key,
            value: to_value(edit),
        },
    ];
    writes.extend(edit.changes.iter().map(change_write));
    writes
}

fn change_write(change: &Change) -> RowWrite {
    let (table, key, value) = match change {
        Change::SetPlan { workspace, plan } => (PLANS, workspace.clone(), to_value(plan)),
        Change::RemovePlan { workspace } => (PLANS, workspace.clone(), None),
        Change::SetAccess { plan, routes } => (ACCESS, plan.clone(), to_value(routes)),
        Change::RemoveAccess { plan } => (ACCESS, plan.clone(), None),
        Change::GiveKey { hash, workspace } => (KEYS, hash.to_string(), to_value(workspace)),
        Change::WithdrawKey { hash } => (KEYS, hash.to_string(), None),
    };
    RowWrite { table, key, value }
}

/// Returns the change that sets what a scanned row holds; none when the row is unreadable.
pub(super) fn change_of_row(table: &str, row: ScannedRow) -> Option<Change> {
    match table {
        PLANS => {
            let plan: Plan = serde_json::from_value(row.value).ok()?;
            let workspace = row.key;
            Some(Change::SetPlan { workspace, plan })
        }
        ACCESS => {
            let routes: Vec<Route> = serde_json::from_value(row.value).ok()?;
            let plan = row.key;
            Some(Change::SetAccess { plan, routes })
        }
        KEYS => {
            let hash: KeyHash = serde_json::from_value(Value::String(row.key)).ok()?;
            let workspace = serde_json::from_value(row.value).ok()?;
            Some(Change::GiveKey { hash, workspace })
        }
        _ => None,
    }
}
