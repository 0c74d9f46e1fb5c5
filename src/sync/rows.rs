//! The rows that hold lists and keys in the table service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    catalog::{Change, Edit, EditId, KeyHash, Plan, Route},
    membership::{Incarnation, Member, Phase},
    store::{RowKey, RowWrite, ScannedRow},
};

/// Table of the head row.
pub(super) const META: &str = "meta";
/// Key of the head row.
pub(super) const HEAD: &str = "head";
/// Table of committed edits, one row per revision.
pub(super) const EDITS: &str = "edits";
/// Table of the list of plans, one row per workspace.
pub(super) const PLANS: &str = "plans";
/// Table of the access list, one row per plan.
pub(super) const ACCESS: &str = "access";
/// Table of keys, one row per hash.
pub(super) const KEYS: &str = "keys";
/// Table of members, one row per member.
pub(super) const MEMBERS: &str = "members";

/// The head row: the newest revision and the edit that led to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) revision: u64,
    pub(super) id: EditId,
    #[serde(default)]
    pub(super) lists_revision: u64,
}

/// The row of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct MemberRow {
    pub(super) member: Member,
    pub(super) phase: Phase,
    pub(super) changed_at: u64,
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

/// Returns the write of the head row.
pub(super) fn head_write(head: &Head) -> RowWrite {
    RowWrite {
        table: META,
        key: HEAD.to_owned(),
        value: to_value(head),
    }
}

/// Returns all writes of one edit; `lists_revision` is that of the last earlier edit that changed
/// lists or keys.
pub(super) fn edit_writes(edit: &Edit, lists_revision: u64) -> Vec<RowWrite> {
    let head = Head {
        revision: edit.revision,
        id: edit.id,
        lists_revision: if edit.changes_lists() {
            edit.revision
        } else {
            lists_revision
        },
    };
    let edit_row = edit_key(edit.revision);
    let mut writes = vec![
        head_write(&head),
        RowWrite {
            table: edit_row.table,
            key: edit_row.key,
            value: to_value(edit),
        },
    ];
    for change in &edit.changes {
        writes.extend(change_writes(change, edit.revision));
    }
    writes
}

fn member_write(member: &Member, phase: Phase, changed_at: u64) -> RowWrite {
    let row = MemberRow {
        member: member.clone(),
        phase,
        changed_at,
    };
    RowWrite {
        table: MEMBERS,
        key: member.incarnation.to_string(),
        value: to_value(&row),
    }
}

fn settle_writes(began: u64, joined: &[Member], left: &[Incarnation]) -> Vec<RowWrite> {
    let settled = joined
        .iter()
        .map(|m| member_write(m, Phase::Settled, began));
    let removed = left.iter().map(|i| RowWrite {
        table: MEMBERS,
        key: i.to_string(),
        value: None,
    });
    settled.chain(removed).collect()
}

fn change_writes(change: &Change, revision: u64) -> Vec<RowWrite> {
    let (table, key, value) = match change {
        Change::AddMember(m) => return vec![member_write(m, Phase::Joining, revision)],
        Change::RemoveMember(m) => return vec![member_write(m, Phase::Leaving, revision)],
        Change::SettleMembers {
            began,
            joined,
            left,
        } => return settle_writes(*began, joined, left),
        Change::SetPlan { workspace, plan } => (PLANS, workspace.clone(), to_value(plan)),
        Change::RemovePlan { workspace } => (PLANS, workspace.clone(), None),
        Change::SetAccess { plan, routes } => (ACCESS, plan.clone(), to_value(routes)),
        Change::RemoveAccess { plan } => (ACCESS, plan.clone(), None),
        Change::GiveKey { hash, workspace } => (KEYS, hash.to_string(), to_value(workspace)),
        Change::WithdrawKey { hash } => (KEYS, hash.to_string(), None),
    };
    vec![RowWrite { table, key, value }]
}

/// Decodes a scanned row of a member; `None` if it is malformed.
pub(super) fn decode_member(row: ScannedRow) -> Option<MemberRow> {
    serde_json::from_value(row.value).ok()
}

/// Returns the change that sets the contents of a scanned row; `None` if the row is malformed.
pub(super) fn decode_change(table: &str, row: ScannedRow) -> Option<Change> {
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
