//! The cached snapshot for peers, and the snapshot in the object store.

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
/// Time for which a snapshot for peers stays cached.
const TTL: Duration = Duration::from_secs(30);

struct Cached {
    snapshot: Rc<Snapshot>,
    taken: BootTime,
}

/// Caches a snapshot for peers that are starting up.
#[derive(Default)]
pub(super) struct SnapshotCache {
    cached: RefCell<Option<Cached>>,
}

impl SnapshotCache {
    /// Drops the cached snapshot once it has expired.
    pub(super) fn expire(&self, now: BootTime) {
        let mut cached = self.cached.borrow_mut();
        if cached.as_ref().is_some_and(|c| now.since(c.taken) > TTL) {
            *cached = None;
        }
    }

    /// Returns a part of the cached snapshot; a request for part 0 takes one if none is cached.
    pub(super) async fn part(&self, replica: &Replica, index: u32) -> Option<SnapshotPart> {
        self.expire(replica.now());
        let cached = self.cached.borrow().as_ref().map(|c| c.snapshot.clone());
        let snapshot = match cached {
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
        *self.cached.borrow_mut() = Some(Cached {
            snapshot: snapshot.clone(),
            taken,
        });
        Some(snapshot)
    }

    /// Loads the snapshot from the object store and applies the edits after it; `None` if it is
    /// absent or unusable.
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
