//! The task that maintains this daemon's lease and its slices in the table.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::timeout;
use serde::de::DeserializeOwned;

use crate::{
    clock::Clock,
    lease::{Candidate, LeaseTerms, SessionId, SliceId},
    metrics::{Counter, Metrics},
    peer::{MessageKind, PeerClient},
    store::{HostList, ScannedRow, StoreError, Table, TransactOutcome, Transaction},
};

use super::{
    BucketLevels, HandoverRequest, LeaseChange, OwnershipHandle, OwnershipState, SliceChange,
    Versioned, SESSIONS_TABLE, SLICES_TABLE,
};

/// Maximum number of rows per page of a scan.
const PAGE_ROWS: usize = 5_000;
/// Maximum number of row changes per transaction.
const BATCH_CHANGES: usize = 64;
/// Number of renewals after which all slices are read again even if no change was noticed.
const FULL_READ_RENEWALS: u32 = 60;
/// Minimum time between two rounds.
const MIN_ROUND: Duration = Duration::from_millis(250);
/// Timeout for the handover of bucket levels to another daemon.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// Maintains the lease and the slices of one daemon.
pub struct OwnershipManager {
    /// The slices that this daemon owns, and the owners of the others.
    pub state: OwnershipHandle,
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The platform's list of hosts.
    pub host_list: Rc<dyn HostList>,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
    /// The slices that this daemon may own.
    pub slices: Vec<SliceId>,
    /// Whether the slices were released for a shutdown.
    pub released: Cell<bool>,
}

/// The sessions that were read, with whether each is fenced.
type SessionSet = BTreeSet<(SessionId, bool)>;

/// Renews the lease and follows changes of the slices until they are released.
pub async fn ownership_task(cx: Rc<OwnershipManager>, mut refresh: mpsc::unbounded::Rx<()>) {
    cx.read_hosts().await;
    let mut round = Round::default();
    while !cx.released.get() {
        if let Err(e) = cx.round(&mut round).await {
            log::debug!("cannot renew the lease or read slices: {e}");
            cx.metrics.count(Counter::StoreErrors);
        }
        let interval = LeaseTerms::renewal_interval(cx.daemons());
        monoio::time::sleep(MIN_ROUND).await;
        let left = interval.saturating_sub(MIN_ROUND);
        round.must_read |= timeout(left, refresh.recv()).await.is_ok();
        while refresh.try_recv().is_ok() {}
    }
}

/// State that is carried from one round to the next.
#[derive(Default)]
struct Round {
    sessions: SessionSet,
    must_read: bool,
    /// Rounds since the slices were last read.
    skipped: u32,
}

impl OwnershipManager {
    /// Hands over all slices and their bucket levels to other hosts, for a shutdown.
    pub async fn release(&self) {
        self.released.set(true);
        let now = self.clock.now();
        let (session, version, changes) = self.state.with(|o| {
            let successors: Vec<_> = o
                .other_live_sessions(now)
                .into_iter()
                .map(|(c, id)| (c.host.to_owned(), c.data_centre.to_owned(), id))
                .collect();
            let listed = self.listed_hosts();
            let listed_successors: Vec<(Candidate<'_>, SessionId)> = successors
                .iter()
                .filter(|(host, ..)| listed.iter().any(|l| l.host == *host))
                .map(|(host, data_centre, id)| (Candidate { host, data_centre }, id.clone()))
                .collect();
            let session = o.session().clone();
            let version = o.own_version();
            (session, version, o.release_all(&listed_successors, now))
        });
        self.send_levels(&changes).await;
        let changes: Vec<LeaseChange> = changes
            .into_iter()
            .map(|(change, _)| LeaseChange::Slice(change))
            .collect();
        self.commit_all(&changes).await;
        let mut version = version;
        if let Ok(rows) = self.scan(SESSIONS_TABLE).await {
            let own = rows.iter().find(|r| r.key == session.as_str());
            version = own.map_or(version, |r| r.version);
        }
        self.commit_all(&[OwnershipState::session_removal(&session, version)])
            .await;
    }

    async fn send_levels(&self, changes: &[(SliceChange, BucketLevels)]) {
        let mut hosts: Vec<&str> = changes.iter().map(|(c, _)| c.row.owner.host()).collect();
        hosts.sort_unstable();
        hosts.dedup();
        for host in hosts {
            let reqs: Vec<HandoverRequest> = changes
                .iter()
                .filter(|(c, _)| c.row.owner.host() == host)
                .map(|(c, levels)| HandoverRequest {
                    slice: c.slice,
                    epoch: c.row.epoch,
                    levels: levels.clone(),
                })
                .collect();
            let sent = self
                .peers
                .call::<_, bool>(host, MessageKind::Handover, &reqs, HANDOVER_TIMEOUT)
                .await;
            if sent.is_err() {
                log::warn!("handover of bucket levels to {host} failed; its buckets start empty");
            }
        }
    }

    async fn read_hosts(&self) {
        loop {
            match self.host_list.hosts().await {
                Ok(hosts) => return self.peers.directory().set_hosts(&hosts),
                Err(_) => monoio::time::sleep(MIN_ROUND).await,
            }
        }
    }

    fn daemons(&self) -> usize {
        self.peers.directory().peers().len() + 1
    }

    fn listed_hosts(&self) -> Vec<ListedDaemon> {
        let peers = self.peers.directory().peers();
        let staying = peers.iter().filter(|p| !p.leaving);
        let mut hosts: Vec<ListedDaemon> = staying
            .map(|p| ListedDaemon {
                host: p.host.to_string(),
                data_centre: p.data_centre.to_string(),
            })
            .collect();
        hosts.push(ListedDaemon {
            host: self.host.clone(),
            data_centre: self.data_centre.clone(),
        });
        hosts
    }

    async fn round(&self, round: &mut Round) -> Result<(), StoreError> {
        let sessions = self.follow_sessions().await?;
        self.renew().await?;
        round.must_read |= sessions != round.sessions || self.has_stale_sessions();
        round.skipped += 1;
        if !round.must_read && round.skipped < FULL_READ_RENEWALS {
            return Ok(());
        }
        self.follow_slices().await?;
        if self.commit_pending().await {
            self.follow_slices().await?;
        }
        round.sessions = sessions;
        round.skipped = 0;
        round.must_read = self.must_read_slices();
        Ok(())
    }

    async fn follow_sessions(&self) -> Result<SessionSet, StoreError> {
        let rows: Vec<(SessionId, Versioned<_>)> = self
            .scan(SESSIONS_TABLE)
            .await?
            .into_iter()
            .filter_map(|r| Some((SessionId::from_key(&r.key), versioned(r)?)))
            .collect();
        let now = self.clock.now();
        self.observe_listed();
        let ended = self.state.with(|o| {
            o.observe_sessions(&rows, now);
            if !o.has_ended() || self.released.get() {
                return None;
            }
            log::warn!(
                "session {} was fenced or removed; starting a new session",
                o.session()
            );
            self.metrics.count(Counter::SessionsFenced);
            let old = o.session().clone();
            o.begin_session(SessionId::new(&self.host, random()));
            let row = rows.iter().find(|(id, _)| *id == old);
            row.map(|(_, read)| OwnershipState::session_removal(&old, read.version))
        });
        if let Some(removal) = ended {
            self.commit_all(&[removal]).await;
        }
        let sessions = rows.into_iter().map(|(id, read)| (id, is_fenced(&read)));
        Ok(sessions.collect())
    }

    fn observe_listed(&self) {
        let now = self.clock.now();
        let peers = self.peers.directory().peers();
        self.state
            .with(|o| o.observe_listed(peers.iter().map(|p| &*p.host), now));
    }

    async fn renew(&self) -> Result<(), StoreError> {
        if self.released.get() {
            return Ok(());
        }
        let terms = LeaseTerms::for_fleet_size(self.daemons());
        let now = self.clock.now();
        let (renewal, change) = self.state.with(|o| o.begin_renewal(terms, now));
        let mut tx = Transaction::default();
        change.add_to(&mut tx);
        if self.table.transact(&tx).await? == TransactOutcome::Committed {
            self.state.with(|o| o.complete_renewal(&renewal));
        }
        Ok(())
    }

    async fn follow_slices(&self) -> Result<(), StoreError> {
        let rows = self.scan(SLICES_TABLE).await?;
        let rows = rows
            .into_iter()
            .filter_map(|r| Some((r.key.parse().ok()?, versioned(r)?)))
            .collect();
        let now = self.clock.now();
        self.state.with(|o| o.observe_slices(rows, now));
        Ok(())
    }

    fn pending_changes(&self) -> Vec<LeaseChange> {
        let listed = self.listed_hosts();
        let candidates: Vec<Candidate<'_>> = listed
            .iter()
            .map(|l| Candidate {
                host: &l.host,
                data_centre: &l.data_centre,
            })
            .collect();
        let now = self.clock.now();
        self.state
            .with(|o| o.pending_changes(&self.slices, &candidates, now))
    }

    /// Returns whether there are expired sessions that still have to be fenced or removed.
    fn has_stale_sessions(&self) -> bool {
        let now = self.clock.now();
        self.state.with(|o| o.has_stale_sessions(now))
    }

    /// Returns whether the next round must read the slices again.
    fn must_read_slices(&self) -> bool {
        let now = self.clock.now();
        !self.pending_changes().is_empty() || self.state.with(|o| o.is_claim_pending(now))
    }

    /// Commits the pending changes and returns whether there were any.
    async fn commit_pending(&self) -> bool {
        let changes = self.pending_changes();
        self.commit_all(&changes).await;
        !changes.is_empty()
    }

    /// Commits changes in batches; those of a batch that conflicts are committed one by one.
    async fn commit_all(&self, changes: &[LeaseChange]) {
        for batch in changes.chunks(BATCH_CHANGES) {
            if self.commit(batch).await || batch.len() == 1 {
                continue;
            }
            for change in batch {
                self.commit(std::slice::from_ref(change)).await;
            }
        }
    }

    /// Commits changes in one transaction and returns whether there was no conflict.
    ///
    /// Failed changes are not retried: the next read yields the changes that are still needed.
    async fn commit(&self, changes: &[LeaseChange]) -> bool {
        let mut tx = Transaction::default();
        changes.iter().for_each(|change| change.add_to(&mut tx));
        match self.table.transact(&tx).await {
            Ok(committed) => committed != TransactOutcome::ConditionFailed,
            Err(e) => {
                log::warn!("cannot commit changes of leases: {e}");
                true
            }
        }
    }

    async fn scan(&self, table: &'static str) -> Result<Vec<ScannedRow>, StoreError> {
        let mut rows: Vec<ScannedRow> = Vec::new();
        loop {
            let after = rows.last().map_or("", |r| r.key.as_str()).to_owned();
            let page = self.table.scan(table, &after, PAGE_ROWS).await?;
            let last = page.len() < PAGE_ROWS;
            rows.extend(page);
            if last {
                return Ok(rows);
            }
        }
    }
}

/// A daemon in the platform's list.
struct ListedDaemon {
    host: String,
    data_centre: String,
}

fn versioned<T: DeserializeOwned>(row: ScannedRow) -> Option<Versioned<T>> {
    Some(Versioned {
        row: serde_json::from_value(row.value).ok()?,
        version: row.version,
    })
}

fn is_fenced(read: &Versioned<crate::lease::SessionRow>) -> bool {
    read.row.fenced
}

/// Returns a random number that is practically unique among all processes.
pub(crate) fn random() -> u64 {
    getrandom::u64().unwrap_or_else(|_| fastrand::u64(..))
}
