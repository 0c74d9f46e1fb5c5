//! The tasks that keep the catalog at the newest revision.

use std::{rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};

use crate::{catalog::Change, metrics::Counter, revision::CommitOutcome};

use super::{
    commit::commit,
    heartbeat_task::heartbeat_task,
    members_task::members_task,
    replica::Replica,
    snapshot_task::snapshot_task,
    spread::{all_daemons, spread},
    EditAnswer, EditRequest,
};

/// Shortest time between two reads of the newest revision.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the newest revision per second by the whole fleet.
const FLEET_READS_PER_S: f64 = 600.0;
/// Time between two attempts to load the catalog at start-up.
const START_INTERVAL: Duration = Duration::from_millis(300);

/// A message to the sync task.
pub enum SyncMessage {
    /// Requests an edit; the response goes to the sender.
    Edit(EditRequest, oneshot::Sender<EditAnswer>),
}

/// Keeps the catalog at the newest revision and commits edits, until all senders are dropped.
pub async fn sync_task(replica: Rc<Replica>, mut rx: mpsc::unbounded::Rx<SyncMessage>) {
    monoio::spawn(poll_task(replica.clone()));
    monoio::spawn(heartbeat_task(replica.clone()));
    monoio::spawn(members_task(replica.clone()));
    monoio::spawn(snapshot_task(replica.clone()));
    while let Some(SyncMessage::Edit(req, reply)) = rx.recv().await {
        let replica = replica.clone();
        monoio::spawn(async move {
            let answer = edit(&replica, &req).await;
            let _ = reply.send(answer);
        });
    }
}

impl Replica {
    /// Returns the time between two reads of the newest revision.
    pub(super) fn poll_interval(&self) -> Duration {
        let daemons = self.parts.peers.directory().peers().len() + 1;
        let share = Duration::from_secs_f64(daemons as f64 / FLEET_READS_PER_S);
        share.max(MIN_POLL_INTERVAL)
    }
}

async fn poll_task(replica: Rc<Replica>) {
    loop {
        if let Err(e) = replica.catch_up().await {
            replica.parts.metrics.count(Counter::StoreErrors);
            log::warn!("reading the table service failed: {e}");
        }
        if replica.held().is_none() {
            fetch_any_snapshot(&replica).await;
            monoio::time::sleep(START_INTERVAL).await;
            continue;
        }
        replica.refresh_serving();
        monoio::time::sleep(replica.poll_interval()).await;
    }
}

/// Loads the lists from the first daemon that returns a snapshot.
async fn fetch_any_snapshot(replica: &Rc<Replica>) {
    let directory = replica.parts.peers.directory();
    let listed = all_daemons(replica);
    let listed = listed
        .iter()
        .map(|p| directory.address_of(&p.host, p.address));
    let seeds = replica.parts.seed_peers.iter().copied();
    let mut addresses: Vec<_> = listed.chain(seeds).collect();
    fastrand::shuffle(&mut addresses);
    for address in addresses {
        match replica.fetch_snapshot(address).await {
            Ok(()) => return,
            Err(e) => log::warn!("fetching a snapshot from {address} failed: {e}"),
        }
    }
}

/// Commits an edit and returns its actual outcome, including an unknown one.
async fn edit(replica: &Rc<Replica>, req: &EditRequest) -> EditAnswer {
    if let Err(expected) = validate(&req.changes) {
        let expected = expected.to_owned();
        return EditAnswer::Invalid { expected };
    }
    match commit(replica, &req.changes, req.from_revision).await {
        CommitOutcome::Committed(revision) => {
            let result = spread(replica, revision).await;
            if result.accepted {
                return EditAnswer::Accepted { revision };
            }
            let missing = result.missing;
            EditAnswer::Pending { revision, missing }
        }
        CommitOutcome::Stale { current } => EditAnswer::Stale { current },
        CommitOutcome::Unavailable => EditAnswer::Unavailable,
        CommitOutcome::Unknown => EditAnswer::Unknown,
    }
}

fn validate(changes: &[Change]) -> Result<(), &'static str> {
    if changes.is_empty() {
        return Err("changes: expected at least one");
    }
    if changes.iter().any(Change::is_membership_change) {
        return Err("changes: expected lists and keys only; daemons join and leave by themselves");
    }
    changes.iter().try_for_each(Change::validate)
}
