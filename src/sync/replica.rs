//! What the tasks that keep the catalog share.

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

/// Longest time for one read of the head row.
const HEAD_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time for a peer to hand over edits.
pub(super) const EDITS_TIMEOUT: Duration = Duration::from_millis(1000);
/// Longest time for a peer to hand over one part of a snapshot.
const PART_TIMEOUT: Duration = Duration::from_secs(10);
/// A time that is never reached.
const FOREVER: BootTime = BootTime::from_duration(Duration::MAX);

/// The parts of which a [`Replica`] is made.
pub struct ReplicaParts {
    /// Name of this host.
    pub host: String,
    /// Address of this daemon for others.
    pub address: SocketAddr,
    /// Identity of this run.
    pub incarnation: Incarnation,
    /// Addresses to ask for the lists while the platform is out.
    pub seed_peers: Vec<SocketAddr>,
    /// Whether to serve without any proof of holding the newest lists.
    pub serve_without_quorum: bool,
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The object store.
    pub objects: Rc<dyn ObjectStore>,
    /// Calls other daemons.
    pub peers: PeerClient,
    /// The catalog that all tasks read.
    pub view: CatalogView,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// What the tasks that keep the catalog share.
pub struct Replica {
    pub(super) parts: ReplicaParts,
    pub(super) log: RefCell<EditLog>,
    pub(super) heartbeats: RefCell<Heartbeats>,
    pub(super) commits: Semaphore,
    pub(super) snapshots: SnapshotCache,
    table_read: Cell<Option<BootTime>>,
}

impl Replica {
    /// Makes a replica that holds no revision yet.
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

    /// Returns the revision held.
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

    /// Returns for how long the table has not shown that the revision held is the newest.
    pub(super) fn table_read_age(&self) -> Option<Duration> {
        self.table_read.get().map(|at| self.now().since(at))
    }

    /// Applies offered edits as far as they follow the revision held.
    ///
    /// Returns the revision behind which edits are missing, if any are.
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

    /// Brings the catalog to the newest revision of the table, and notes when the read began.
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

    /// Works out until when this daemon may serve.
    pub(super) fn refresh_serving(&self) {
        let until = if self.is_dropped() {
            BootTime::default()
        } else if self.parts.serve_without_quorum && self.held().is_some() {
            FOREVER
        } else {
            serve_until(self.table_read.get(), self.quorum_last_heard())
        };
        self.parts.view.set_serve_until(until);
    }

    /// Tells whether the platform's list dropped this host, by which others count it as gone.
    fn is_dropped(&self) -> bool {
        let directory = self.parts.peers.directory();
        directory.unlisted_for(&self.parts.host).is_some()
    }

    fn quorum_last_heard(&self) -> Option<BootTime> {
        let catalog = self.parts.view.get();
        let heartbeats = self.heartbeats.borrow();
        heartbeats.quorum_last_heard(self.parts.incarnation, catalog.members(), self.now())
    }

    /// Makes this daemon's report of whom it heard.
    pub(super) fn report(&self) -> Option<HeartbeatReport> {
        let held = self.held()?;
        let catalog = self.parts.view.get();
        let heartbeats = self.heartbeats.borrow();
        Some(heartbeats.report(self.parts.incarnation, held, catalog.members(), self.now()))
    }

    /// Takes in a report that was asked for at `asked`.
    pub(super) fn record_heartbeat(&self, report: &HeartbeatReport, asked: BootTime) -> bool {
        let Some(held) = self.held() else {
            return false;
        };
        let catalog = self.parts.view.get();
        let mut heartbeats = self.heartbeats.borrow_mut();
        heartbeats.record(report, asked, held, catalog.members())
    }

    /// Asks a daemon for the edits behind the revision held and applies them.
    pub(super) async fn fetch_edits(&self, address: SocketAddr) -> Result<(), PeerError> {
        let held = self.held().ok_or(PeerError::Refused)?;
        let call = RevisionCall::EditsBehind(held);
        let reply = self.ask(address, &call, EDITS_TIMEOUT).await?;
        if let RevisionReply::Edits(Some(edits)) = reply {
            self.adopt(&edits);
        }
        Ok(())
    }

    /// Takes the lists from a daemon, as long as none are held.
    pub(super) async fn fetch_snapshot(&self, address: SocketAddr) -> Result<(), PeerError> {
        let mut parts = Vec::new();
        let mut base = None;
        loop {
            let call = RevisionCall::SnapshotPart(parts.len() as u32);
            let reply = self.ask(address, &call, PART_TIMEOUT).await?;
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
        let reply = self.ask(address, &call, EDITS_TIMEOUT).await?;
        let RevisionReply::Edits(Some(edits)) = reply else {
            return Err(PeerError::Refused);
        };
        if self.held().is_none() {
            self.parts.view.update(|c| *c = catalog);
            self.adopt(&edits);
        }
        Ok(())
    }

    pub(super) async fn ask(
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
