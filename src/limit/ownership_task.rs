//! The task that keeps this daemon's lease and its slices in the table.

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

/// Most rows of one page of a scan.
const PAGE: usize = 5_000;
/// Most steps of one transaction.
const BATCH: usize = 64;
/// Renewals after which all slices are read again even when nothing seems changed.
const FULL_READ_RENEWALS: u32 = 60;
/// Shortest time between two rounds.
const MIN_ROUND: Duration = Duration::from_millis(250);
/// Time to wait for another daemon to take levels.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(500);

/// What the task needs.
pub struct OwnershipManager {
    /// What this daemon owns.
    pub owner: OwnershipHandle,
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The platform's list of hosts.
    pub list: Rc<dyn HostList>,
    /// Calls other daemons.
    pub peers: PeerClient,
    /// Name of this host.
    pub host: String,
    /// Data centre of this host.
    pub data_centre: String,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// The slices that this daemon may own.
    pub slices: Vec<SliceId>,
    /// Whether the slices were released for good.
    pub released: Cell<bool>,
}

/// Which sessions were seen, and which of them fenced.
type SessionMarks = BTreeSet<(SessionId, bool)>;

/// Renews the lease and follows the slices until they are released.
pub async fn ownership_task(cx: Rc<OwnershipManager>, mut refresh: mpsc::unbounded::Rx<()>) {
    cx.read_hosts().await;
    let mut round = Round::default();
    while !cx.released.get() {
        if let Err(e) = cx.round(&mut round).await {
            log::debug!("ownership: {e}");
            cx.metrics.count(Counter::StoreErrors);
        }
        let period = LeaseTerms::renewal_interval(cx.daemons());
        monoio::time::sleep(MIN_ROUND).await;
        let left = period.saturating_sub(MIN_ROUND);
        round.must_read |= timeout(left, refresh.recv()).await.is_ok();
        while refresh.try_recv().is_ok() {}
    }
}

/// What one round leaves to the next.
#[derive(Default)]
struct Round {
    marks: SessionMarks,
    must_read: bool,
    unread: u32,
}

impl OwnershipManager {
    /// Hands all slices and their levels to other hosts, for a shutdown.
    pub async fn release(&self) {
        self.released.set(true);
        let now = self.clock.now();
        let (session, version, changes) = self.owner.with(|o| {
            let successors: Vec<_> = o
                .other_live_sessions(now)
                .into_iter()
                .map(|(c, id)| (c.host.to_owned(), c.data_centre.to_owned(), id))
                .collect();
            let listed = self.listed_hosts();
            let able: Vec<(Candidate<'_>, SessionId)> = successors
                .iter()
                .filter(|(host, ..)| listed.iter().any(|l| l.host == *host))
                .map(|(host, data_centre, id)| (Candidate { host, data_centre }, id.clone()))
                .collect();
            let session = o.session().clone();
            let version = o.own_version();
            (session, version, o.release_all(&able, now))
        });
        self.send_levels(&changes).await;
        let steps: Vec<LeaseChange> = changes
            .into_iter()
            .map(|(change, _)| LeaseChange::Slice(change))
            .collect();
        self.commit_all(&steps).await;
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
                log::warn!("{host} did not take levels; its buckets begin empty");
            }
        }
    }

    async fn read_hosts(&self) {
        loop {
            match self.list.hosts().await {
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
        let marks = self.follow_sessions().await?;
        self.renew().await?;
        round.must_read |= marks != round.marks || self.has_ended_sessions();
        round.unread += 1;
        if !round.must_read && round.unread < FULL_READ_RENEWALS {
            return Ok(());
        }
        self.follow_slices().await?;
        if self.make_steps().await {
            self.follow_slices().await?;
        }
        round.marks = marks;
        round.unread = 0;
        round.must_read = self.wants_steps();
        Ok(())
    }

    async fn follow_sessions(&self) -> Result<SessionMarks, StoreError> {
        let rows: Vec<(SessionId, Versioned<_>)> = self
            .scan(SESSIONS_TABLE)
            .await?
            .into_iter()
            .filter_map(|r| Some((SessionId::from_key(&r.key), versioned(r)?)))
            .collect();
        let now = self.clock.now();
        self.observe_listed();
        let ended = self.owner.with(|o| {
            o.observe_sessions(&rows, now);
            if !o.has_ended() || self.released.get() {
                return None;
            }
            log::warn!("session {} was fenced", o.session());
            self.metrics.count(Counter::SessionsFenced);
            let old = o.session().clone();
            o.begin_session(SessionId::new(&self.host, random()));
            let row = rows.iter().find(|(id, _)| *id == old);
            row.map(|(_, read)| OwnershipState::session_removal(&old, read.version))
        });
        if let Some(step) = ended {
            self.commit_all(&[step]).await;
        }
        let marks = rows.into_iter().map(|(id, read)| (id, is_fenced(&read)));
        Ok(marks.collect())
    }

    fn observe_listed(&self) {
        let now = self.clock.now();
        let peers = self.peers.directory().peers();
        self.owner
            .with(|o| o.observe_listed(peers.iter().map(|p| &*p.host), now));
    }

    async fn renew(&self) -> Result<(), StoreError> {
        if self.released.get() {
            return Ok(());
        }
        let terms = LeaseTerms::for_fleet_size(self.daemons());
        let now = self.clock.now();
        let (renewal, step) = self.owner.with(|o| o.begin_renewal(terms, now));
        let mut tx = Transaction::default();
        step.add_to(&mut tx);
        if self.table.transact(&tx).await? == TransactOutcome::Committed {
            self.owner.with(|o| o.complete_renewal(&renewal));
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
        self.owner.with(|o| o.observe_slices(rows, now));
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
        self.owner
            .with(|o| o.pending_changes(&self.slices, &candidates, now))
    }

    /// Tells whether a session ended that is still to be fenced or removed.
    fn has_ended_sessions(&self) -> bool {
        let now = self.clock.now();
        self.owner.with(|o| o.has_ended_sessions(now))
    }

    /// Tells whether the next round should read the slices again.
    fn wants_steps(&self) -> bool {
        let now = self.clock.now();
        !self.pending_changes().is_empty() || self.owner.with(|o| o.is_claim_pending(now))
    }

    /// Makes the changes that are due; returns whether there were any.
    async fn make_steps(&self) -> bool {
        let steps = self.pending_changes();
        self.commit_all(&steps).await;
        !steps.is_empty()
    }

    /// Commits steps in batches; those of a batch that conflicts are tried one by one.
    async fn commit_all(&self, steps: &[LeaseChange]) {
        for batch in steps.chunks(BATCH) {
            if self.commit(batch).await || batch.len() == 1 {
                continue;
            }
            for step in batch {
                self.commit(std::slice::from_ref(step)).await;
            }
        }
    }

    /// Commits steps together; tells whether there was no conflict. What fails is worked out anew
    /// from the next reading.
    async fn commit(&self, steps: &[LeaseChange]) -> bool {
        let mut tx = Transaction::default();
        steps.iter().for_each(|step| step.add_to(&mut tx));
        match self.table.transact(&tx).await {
            Ok(committed) => committed != TransactOutcome::ConditionFailed,
            Err(e) => {
                log::warn!("steps of leases: {e}");
                true
            }
        }
    }

    async fn scan(&self, table: &'static str) -> Result<Vec<ScannedRow>, StoreError> {
        let mut rows: Vec<ScannedRow> = Vec::new();
        loop {
            let after = rows.last().map_or("", |r| r.key.as_str()).to_owned();
            let page = self.table.scan(table, &after, PAGE).await?;
            let last = page.len() < PAGE;
            rows.extend(page);
            if last {
                return Ok(rows);
            }
        }
    }
}

/// A daemon of the platform's list.
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

/// Returns a random number that no other process draws.
pub(crate) fn random() -> u64 {
    getrandom::u64().unwrap_or_else(|_| fastrand::u64(..))
}
