//! Committing edits to the table service.

use std::time::Duration;

use crate::{
    catalog::{Catalog, Change, Edit, EditId},
    revision::{CommitEvent, CommitOutcome, CommitProtocol, CommitStep, Fence, ObservedHead},
    store::{RowCheck, StoreError, Table, TransactOutcome, Transaction},
};

use super::{
    load::{read_head_row, HeadRow},
    replica::Replica,
    rows::{edit_key, edit_writes, head_key, head_write},
};

/// Longest backoff before an edit is written again after a conflict with another one.
const MAX_BACKOFF: Duration = Duration::from_millis(150);
/// Time between two attempts to resolve a write whose response was lost.
const RESOLVE_INTERVAL: Duration = Duration::from_millis(200);
/// Attempts to read the head row at the same revision that the daemon holds.
const HEAD_READS: u32 = 10;

/// Commits changes on top of the newest revision, and applies them to this replica.
///
/// A change of members ends as stale if it is not valid in the current state of the members, as when
/// another one is pending.
pub(super) async fn commit(
    replica: &Replica,
    changes: &[Change],
    base_revision: Option<u64>,
) -> CommitOutcome {
    let Ok(_permit) = replica.commits.acquire().await else {
        return CommitOutcome::Unavailable;
    };
    let mut driver = Driver {
        replica,
        changes,
        protocol: CommitProtocol::new(new_edit_id(), base_revision),
        head: None,
        edit: None,
        writes: 0,
    };
    let outcome = driver.run().await;
    if let (CommitOutcome::Committed(_), Some(edit)) = (outcome, &driver.edit) {
        replica.adopt(std::slice::from_ref(edit));
    }
    outcome
}

struct Driver<'a> {
    replica: &'a Replica,
    changes: &'a [Change],
    protocol: CommitProtocol,
    head: Option<HeadRow>,
    edit: Option<Edit>,
    writes: u32,
}

impl Driver<'_> {
    async fn run(&mut self) -> CommitOutcome {
        let mut step = self.protocol.first_step();
        loop {
            let event = match step {
                CommitStep::End(outcome) => return outcome,
                CommitStep::ReadHead => match self.read_head().await {
                    Ok(event) => event,
                    Err(outcome) => return outcome,
                },
                CommitStep::Write { revision, version } => self.write(revision, version).await,
                CommitStep::WriteFence(fence) => self.write_fence(fence).await,
                CommitStep::ReadBack { revision } => self.read_back(revision).await,
            };
            step = self.protocol.advance(event);
        }
    }

    fn table(&self) -> &dyn Table {
        self.replica.parts.table.as_ref()
    }

    async fn read_head(&mut self) -> Result<CommitEvent, CommitOutcome> {
        if self.writes > 0 {
            let max_ms = MAX_BACKOFF.as_millis() as u64;
            monoio::time::sleep(Duration::from_millis(fastrand::u64(..max_ms))).await;
        }
        for _ in 0..HEAD_READS {
            if self.replica.catch_up().await.is_err() {
                return Ok(CommitEvent::ReadFailed);
            }
            let Ok(row) = read_head_row(self.table()).await else {
                return Ok(CommitEvent::ReadFailed);
            };
            let catalog = self.replica.parts.view.get();
            if catalog.revision() != row.head.revision {
                continue;
            }
            if !can_change_members(&catalog, self.changes) {
                let current = row.head.revision;
                return Err(CommitOutcome::Stale { current });
            }
            self.head = Some(row);
            return Ok(CommitEvent::Head(ObservedHead {
                revision: row.head.revision,
                lists_revision: row.head.lists_revision,
                version: row.version,
            }));
        }
        Ok(CommitEvent::ReadFailed)
    }

    async fn write(&mut self, revision: u64, version: u64) -> CommitEvent {
        self.writes += 1;
        let edit = Edit {
            revision,
            id: self.protocol.id(),
            changes: self.changes.to_vec(),
        };
        let lists_revision = self.head.map_or(0, |row| row.head.lists_revision);
        let tx = Transaction {
            checks: vec![head_check(version)],
            writes: edit_writes(&edit, lists_revision),
        };
        self.edit = Some(edit);
        write_event(self.table().transact(&tx).await)
    }

    async fn write_fence(&self, fence: Fence) -> CommitEvent {
        monoio::time::sleep(RESOLVE_INTERVAL).await;
        let Some(row) = &self.head else {
            return CommitEvent::ReadFailed;
        };
        let tx = Transaction {
            checks: vec![head_check(fence.version)],
            writes: vec![head_write(&row.head)],
        };
        write_event(self.table().transact(&tx).await)
    }

    async fn read_back(&self, revision: u64) -> CommitEvent {
        let keys = [head_key(), edit_key(revision)];
        let Ok(rows) = self.table().read(&keys).await else {
            monoio::time::sleep(RESOLVE_INTERVAL).await;
            return CommitEvent::ReadFailed;
        };
        let [head, edit] = rows.as_slice() else {
            return CommitEvent::ReadFailed;
        };
        let found = match edit {
            None => None,
            Some(row) => match serde_json::from_value::<Edit>(row.value.clone()) {
                Ok(edit) => Some(edit.id),
                Err(_) => return CommitEvent::ReadFailed,
            },
        };
        CommitEvent::ReadBack {
            version: head.as_ref().map_or(0, |row| row.version),
            found,
        }
    }
}

fn head_check(version: u64) -> RowCheck {
    let key = head_key();
    RowCheck {
        table: key.table,
        key: key.key,
        version,
    }
}

fn write_event(res: Result<TransactOutcome, StoreError>) -> CommitEvent {
    match res {
        Ok(TransactOutcome::Committed) => CommitEvent::Written,
        Ok(TransactOutcome::ConditionFailed) => CommitEvent::ConditionFailed,
        Err(StoreError::Refused) => CommitEvent::WriteRefused,
        Err(StoreError::NoAnswer | StoreError::BadAnswer) => CommitEvent::ResponseLost,
    }
}

/// Returns whether the changes of members, if any, are valid in the state of `catalog`.
fn can_change_members(catalog: &Catalog, changes: &[Change]) -> bool {
    let members = catalog.members();
    changes.iter().all(|change| match change {
        Change::AddMember(m) => {
            members.pending_change().is_none() && members.find(m.incarnation).is_none()
        }
        Change::RemoveMember(m) => {
            members.pending_change().is_none() && members.find(m.incarnation).is_some()
        }
        Change::SettleMembers { began, .. } => members.pending_change() == Some(*began),
        _ => true,
    })
}

fn new_edit_id() -> EditId {
    let mut bytes = [0; 16];
    if getrandom::fill(&mut bytes).is_err() {
        fastrand::fill(&mut bytes);
    }
    EditId(bytes)
}
