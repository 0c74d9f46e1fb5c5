//! The task that periodically writes a snapshot to the object store.

use std::{hash::Hasher, rc::Rc, time::Duration};

use crate::metrics::Counter;

use super::replica::Replica;

/// Time between two checks of whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// Edits since the last snapshot after which a new one is due.
const EDITS_PER_SNAPSHOT: u64 = 500;

/// Writes a snapshot whenever enough edits were committed; only one daemon of the fleet does so.
pub(super) async fn snapshot_task(replica: Rc<Replica>) {
    let mut written = 0;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        replica.snapshots.expire(replica.now());
        let held = replica.held().unwrap_or(0);
        if held < written + EDITS_PER_SNAPSHOT || !is_writer(&replica) {
            continue;
        }
        match replica.snapshots.write_object(&replica).await {
            Some(base) => {
                written = base;
                replica.parts.metrics.count(Counter::SnapshotsWritten);
            }
            None => log::warn!("writing the snapshot to the object store failed"),
        }
    }
}

/// Returns whether this host has the highest rendezvous weight of all.
fn is_writer(replica: &Replica) -> bool {
    let own = weight(&replica.parts.host);
    let peers = replica.parts.peers.directory().peers();
    peers.iter().all(|p| weight(&p.host) < own)
}

fn weight(host: &str) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.write(host.as_bytes());
    hasher.write(b"snapshot");
    hasher.finish()
}
