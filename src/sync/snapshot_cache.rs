//! Snapshots at hand: one for peers, one in the object store.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{catalog::Catalog, clock::BootTime};

use super::{
    load::{read_edits, read_head},
    messages::SnapshotPart,
    replica::{Replica, ReplicaParts},
    snapshot::Snapshot,
};

/// Name of the snapshot in the object store.
const OBJECT: &str = "chervillug-snapshot";
/// Time for which a snapshot for peers is kept.
const KEEP: Duration = Duration::from_secs(30);

struct Kept {
    snapshot: Rc<Snapshot>,
    taken: BootTime,
}

/// The snapshot that is kept for peers that start.
#[derive(Default)]
pub(super) struct SnapshotCache {
    kept: RefCell<Option<Kept>>,
}

impl SnapshotCache {
    /// Drops the kept snapshot when it is old.
    pub(super) fn expire(&self, now: BootTime) {
        let mut kept = self.kept.borrow_mut();
        if kept.as_ref().is_some_and(|k| now.since(k.taken) > KEEP) {
            *kept = None;
        }
    }

    /// Returns a part of the kept snapshot; part 0 takes one when none is kept.
    pub(super) async fn part(&self, replica: &Replica, index: u32) -> Option<SnapshotPart> {
        self.expire(replica.now());
        let kept = self.kept.borrow().as_ref().map(|k| k.snapshot.clone());
        let snapshot = match kept {
            Some(snapshot) => snapshot,
            None if index == 0 => self.take(replica).await?,
            None => return None,
        };
        let part = snapshot.parts.get(index as usize)?;
        Some(SnapshotPart {
            base: snapshot.base,
            parts: snapshot.parts.len() as u32,
            bytes: part.to_vec(),
        })
    }

    async fn take(&self, replica: &Replica) -> Option<Rc<Snapshot>> {
        let snapshot = Rc::new(Snapshot::take(&replica.parts.view).await?);
        let taken = replica.now();
        *self.kept.borrow_mut() = Some(Kept {
            snapshot: snapshot.clone(),
            taken,
        });
        Some(snapshot)
    }

    /// Reads the snapshot of the object store and the edits behind it; none when there is none or
    /// it cannot be used.
    pub(super) async fn read_object(&self, parts: &ReplicaParts) -> Option<Catalog> {
        let object = parts.objects.get(OBJECT).await.ok()??;
        let (end, frames) = Snapshot::split_object(object)?;
        let mut catalog = Snapshot::decode(&frames).await?;
        let head = read_head(parts.table.as_ref()).await.ok()?;
        while catalog.revision() < head {
            let edits = read_edits(parts.table.as_ref(), catalog.revision(), head);
            let edits = edits.await.ok()?;
            if !edits.iter().all(|e| catalog.apply(e)) || edits.is_empty() {
                return None;
            }
        }
        (catalog.revision() >= end).then_some(catalog)
    }

    /// Writes a snapshot to the object store.
    pub(super) async fn write_object(&self, replica: &Replica) -> Option<u64> {
        let snapshot = Snapshot::take(&replica.parts.view).await?;
        let object = snapshot.to_object();
        replica.parts.objects.put(OBJECT, object).await.ok()?;
        Some(snapshot.base)
    }
}
