//! The local replica of the catalog, shared by the tasks that update it.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use local_sync::semaphore::Semaphore;
use monoio::time::timeout;

use crate::{
    catalog::Edit,
    clock::{BootTime, Clock},
    membership::{serve_until, HeartbeatReport, Heartbeats, Incarnation, Member},
    metrics::{Counter, Metrics},
    peer::{MessageKind, PeerClient, PeerError},
    revision::{decide_adoption, Adoption},
    store::{ObjectStore, StoreError, Table},
};

use super::{
    edit_log::EditLog,
    load::{load_catalog, read_edits, read_head},
    messages::{RevisionCall, RevisionReply},
    snapshot::Snapshot,
    snapshot_cache::SnapshotCache,
    CatalogView,
};

/// Timeout for a read of the head row.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for fetching edits from a peer.
const EDITS_TIMEOUT: Duration = Duration::from_millis(1000);
/// Timeout for fetching one part of a snapshot from a peer.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// A time that is never reached.
const FOREVER: BootTime = BootTime::from_duration(Duration::MAX);

/// Dependencies of a [`Replica`].
pub struct ReplicaParts {
    /// Name of this host.
    pub host: String,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
    /// Identity of this run.
    pub incarnation: Incarnation,
    /// Addresses of daemons to fetch the lists from while the platform is unavailable.
    pub seed_peers: Vec<SocketAddr>,
    /// Whether to serve without evidence that the lists held are the newest ones.
    pub serve_without_quorum: bool,
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The object store.
    pub objects: Rc<dyn ObjectStore>,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// The catalog that all tasks read.
    pub view: CatalogView,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// The local replica of the catalog, shared by the tasks that update it.
pub struct Replica {
    pub(super) parts: ReplicaParts,
    pub(super) log: RefCell<EditLog>,
    pub(super) heartbeats: RefCell<Heartbeats>,
    pub(super) commits: Semaphore,
    pub(super) snapshots: SnapshotCache,
    table_read: Cell<Option<BootTime>>,
}

impl Replica {
    /// Creates a replica that holds no revision yet.
    pub fn new(parts: ReplicaParts) -> Self {
        Self {
            parts,
            log: RefCell::default(),
            heartbeats: RefCell::default(),
            commits: Semaphore::new(1),
            snapshots: SnapshotCache::default(),
            table_read: Cell::new(None),
        }
    }

    pub(super) fn now(&self) -> BootTime {
        self.parts.clock.now()
    }

    /// Returns the revision held; `None` before a catalog is loaded.
    pub(super) fn held(&self) -> Option<u64> {
        let catalog = self.parts.view.get();
        catalog.is_loaded().then(|| catalog.revision())
    }

    /// Returns this daemon as a member.
    pub(super) fn own_member(&self) -> Member {
        Member {
            incarnation: self.parts.incarnation,
            host: self.parts.host.clone(),
            address: self.parts.address,
        }
    }

    /// Returns the time since the last read of the table that showed the revision held as the
    /// newest.
    pub(super) fn table_read_age(&self) -> Option<Duration> {
        self.table_read.get().map(|at| self.now().since(at))
    }

    /// Applies offered edits in order up to the first gap, and ignores those that are already held.
    ///
    /// Returns the revision after which edits are missing, if any are.
    pub(super) fn adopt(&self, edits: &[Edit]) -> Option<u64> {
        for edit in edits {
            match decide_adoption(self.held(), edit.revision, edit.revision) {
                Adoption::Ignore => {}
                Adoption::FetchAfter(held) => return Some(held),
                Adoption::ApplyFrom(_) => self.apply(edit),
            }
        }
        None
    }

    fn apply(&self, edit: &Edit) {
        self.parts.view.update(|c| c.apply(edit));
        self.parts.metrics.count(Counter::EditsApplied);
        self.log.borrow_mut().push(edit.clone());
        let catalog = self.parts.view.get();
        self.heartbeats
            .borrow_mut()
            .retain_members(catalog.members());
    }

    /// Updates the catalog to the newest revision of the table, and records when the read began.
    pub(super) async fn catch_up(&self) -> Result<(), StoreError> {
        if self.held().is_none() {
            self.load().await?;
        }
        let began = self.now();
        let head = timeout(HEAD_TIMEOUT, read_head(self.parts.table.as_ref())).await;
        let head = head.map_err(|_| StoreError::NoAnswer)??;
        while let Some(held) = self.held().filter(|held| *held < head) {
            let edits = read_edits(self.parts.table.as_ref(), held, head).await?;
            self.adopt(&edits);
            if self.held() == Some(held) {
                return Err(StoreError::BadAnswer);
            }
        }
        self.table_read.set(Some(began));
        self.refresh_serving();
        Ok(())
    }

    async fn load(&self) -> Result<(), StoreError> {
        let table = self.parts.table.as_ref();
        let catalog = match self.snapshots.read_object(&self.parts).await {
            Some(catalog) => catalog,
            None => load_catalog(table).await?,
        };
        if self.held().is_none() {
            self.parts.view.update(|c| *c = catalog);
        }
        Ok(())
    }

    /// Updates the time until which this daemon may serve.
    pub(super) fn refresh_serving(&self) {
        let until = if self.is_unlisted() {
            BootTime::default()
        } else if self.parts.serve_without_quorum && self.held().is_some() {
            FOREVER
        } else {
            serve_until(self.table_read.get(), self.quorum_last_heard())
        };
        self.parts.view.set_serve_until(until);
    }

    /// Returns whether this host is no longer in the platform's list, so that others count its
    /// member as gone.
    fn is_unlisted(&self) -> bool {
        let directory = self.parts.peers.directory();
        directory.unlisted_for(&self.parts.host).is_some()
    }

    fn quorum_last_heard(&self) -> Option<BootTime> {
        let catalog = self.parts.view.get();
        let heartbeats = self.heartbeats.borrow();
        heartbeats.quorum_last_heard(self.parts.incarnation, catalog.members(), self.now())
    }

    /// Returns this daemon's heartbeat report.
    pub(super) fn heartbeat_report(&self) -> Option<HeartbeatReport> {
        let held = self.held()?;
        let catalog = self.parts.view.get();
        let heartbeats = self.heartbeats.borrow();
        Some(heartbeats.report(self.parts.incarnation, held, catalog.members(), self.now()))
    }

    /// Records a report that was requested at `requested`; returns whether it counts.
    pub(super) fn record_heartbeat(&self, report: &HeartbeatReport, requested: BootTime) -> bool {
        let Some(held) = self.held() else {
            return false;
        };
        let catalog = self.parts.view.get();
        let mut heartbeats = self.heartbeats.borrow_mut();
        heartbeats.record(report, requested, held, catalog.members())
    }

    /// Fetches the edits after the revision held from a daemon and applies them.
    pub(super) async fn fetch_edits(&self, address: SocketAddr) -> Result<(), PeerError> {
        let held = self.held().ok_or(PeerError::Refused)?;
        let call = RevisionCall::EditsBehind(held);
        let reply = self.call(address, &call, EDITS_TIMEOUT).await?;
        if let RevisionReply::Edits(Some(edits)) = reply {
            self.adopt(&edits);
        }
        Ok(())
    }

    /// Loads the lists from a daemon's snapshot, unless some are already held.
    pub(super) async fn fetch_snapshot(&self, address: SocketAddr) -> Result<(), PeerError> {
        let mut parts = Vec::new();
        let mut base = None;
        loop {
            let call = RevisionCall::SnapshotPart(parts.len() as u32);
            let reply = self.call(address, &call, PART_TIMEOUT).await?;
            let RevisionReply::Part(part) = reply else {
                return Err(PeerError::Refused);
            };
            if *base.get_or_insert(part.base) != part.base {
                return Err(PeerError::BadAnswer);
            }
            parts.push(part.bytes.into());
            if parts.len() >= part.parts as usize {
                break;
            }
        }
        let catalog = Snapshot::decode(&parts).await.ok_or(PeerError::BadAnswer)?;
        let call = RevisionCall::EditsBehind(catalog.revision());
        let reply = self.call(address, &call, EDITS_TIMEOUT).await?;
        let RevisionReply::Edits(Some(edits)) = reply else {
            return Err(PeerError::Refused);
        };
        if self.held().is_none() {
            self.parts.view.update(|c| *c = catalog);
            self.adopt(&edits);
        }
        Ok(())
    }

    pub(super) async fn call(
        &self,
        address: SocketAddr,
        call: &RevisionCall,
        limit: Duration,
    ) -> Result<RevisionReply, PeerError> {
        let peers = &self.parts.peers;
        peers
            .call_address(address, MessageKind::Revision, call, limit)
            .await
    }
}
