//! The task that acquires and renews the lease of the local data centre's slice.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    follow::{FLEET_TABLE, MEMBERS_TABLE},
    membership::Incarnation,
    metrics::Metrics,
    peer::{FleetBroadcast, MessageKind, PeerClient},
    store::{Era, RowPut, RowStore, StoreError, StoredRow, WriteOutcome},
};

use super::{
    handover_task::SliceHandover, lease_handle::SliceOffer, slice_row::SLICES_TABLE, HolderRow,
    LeaseHandle, LeaseHolder, LocalSlice, SliceHolders, SliceStatus, SliceStatusRequest,
    Succession, SuccessionRank, RENEW_INTERVAL,
};

/// Time after the start of a daemon that gives the other daemons of a new fleet time to register.
const STARTUP_WAIT: Duration = Duration::from_millis(1500);
/// Interval of checks whether the holder is known.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Pause after another daemon has acquired the lease.
const CONFLICT_PAUSE: Duration = Duration::from_secs(5);
/// Interval of checks whether the holder is suspected to have failed.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a check whether the holder is alive.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Part of the tables that holds the leases and their announcements.
const PART: &str = "";

/// Dependencies of the task.
pub struct LeaseParts {
    /// The store.
    pub store: Rc<dyn RowStore>,
    /// The slice of the local data centre.
    pub slice: LocalSlice,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// Incarnation of this daemon.
    pub incarnation: Incarnation,
    /// Address of this daemon for other daemons, at which no other process serves.
    pub peer_address: SocketAddr,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Broadcast of the new holder at a handover.
    pub broadcast: FleetBroadcast,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
    /// Whether the whole fleet starts for the first time.
    pub first_start: bool,
}

/// Acquires and renews the lease of the local data centre's slice.
pub struct LeaseTask {
    parts: LeaseParts,
    succession: Succession,
    handle: LeaseHandle,
    offers: mpsc::unbounded::Rx<SliceOffer>,
    /// Era of the store in which this daemon was last announced as the holder.
    announced_in: Cell<Era>,
}

impl LeaseTask {
    /// Creates the task with the given dependencies.
    pub fn new(parts: LeaseParts) -> Self {
        let (handle, offers) = LeaseHandle::new();
        if parts.first_start {
            let now = parts.clock.now();
            parts.slice.with_lease(now, |l| l.set_first_start());
        }
        Self {
            parts,
            handle,
            offers,
            succession: Succession::default(),
            announced_in: Cell::default(),
        }
    }

    /// Returns the handle by which the task is stopped and given slices of other daemons.
    pub fn handle(&self) -> LeaseHandle {
        self.handle.clone()
    }

    /// Runs until the daemon leaves, and hands the slice over then.
    pub async fn run(mut self) {
        let stop = self.handle.stop.clone();
        monoio::select! {
            () = self.wait_for_fleet() => {},
            () = stop.wait() => {},
        }
        let mut pause = Duration::ZERO;
        while !stop.is_triggered() {
            // A step is not interrupted, so that no write is in transit at the handover.
            monoio::select! {
                () = sleep(pause) => pause = self.step().await,
                offer = self.offers.recv() => if let Some(offer) = offer {
                    pause = self.take_over(offer).await;
                },
                () = stop.wait() => {},
            }
        }
        let parts = &self.parts;
        let handover = SliceHandover {
            slice: parts.slice.clone(),
            holders: parts.holders.clone(),
            peers: parts.peers.clone(),
            broadcast: parts.broadcast.clone(),
            data_centre: parts.data_centre.clone(),
            clock: parts.clock.clone(),
            metrics: parts.metrics.clone(),
        };
        handover.run(self.handle.end.get()).await;
        self.handle.stopped.trigger();
    }

    /// Acquires the lease of a slice that its holder has released, and returns the time until the
    /// next step.
    async fn take_over(&mut self, offer: SliceOffer) -> Duration {
        let SliceOffer { slice, reply } = offer;
        let parts = &self.parts;
        let version = slice.version;
        self.see_era(parts.store.era());
        let is_own = slice.data_centre == parts.data_centre;
        let mut pause = Duration::ZERO;
        if is_own && parts.slice.accept(slice, parts.clock.now()) {
            log::info!(data_centre = parts.data_centre.as_str(), row:? = version;
                "slice released to this daemon");
            pause = self.write(version.number).await;
        }
        let now = parts.clock.now();
        let held = parts.slice.is_held(now);
        let version = parts.slice.with_lease(now, |l| l.observed_version());
        let _ = reply.send(version.filter(|_| held));
        pause
    }

    /// Waits until the holder of the slice is known, or until the daemons of a new fleet have had
    /// time to register.
    async fn wait_for_fleet(&self) {
        let end = self.parts.clock.now() + STARTUP_WAIT;
        let is_known = || self.parts.holders.holder(&self.parts.data_centre).is_some();
        while !is_known() && self.parts.clock.now() < end {
            sleep(STARTUP_CHECK_INTERVAL).await;
        }
    }

    /// Acquires, renews or reads the lease once, and returns the time until the next step.
    async fn step(&mut self) -> Duration {
        let now = self.parts.clock.now();
        self.see_era(self.parts.store.era());
        let is_holder = self.parts.slice.with_lease(now, |l| l.is_holder());
        if !is_holder && !self.is_recorded_holder() {
            self.check_holder(now).await;
        }
        let now = self.parts.clock.now();
        if !is_holder && !self.is_recorded_holder() && !self.is_due_to_watch(now) {
            return SUSPECT_CHECK_INTERVAL;
        }
        let is_unread = self.parts.slice.with_lease(now, |l| l.is_unread());
        if (!is_holder || is_unread) && !self.observe_lease().await {
            return RETRY_PAUSE;
        }
        let now = self.parts.clock.now();
        let slice = &self.parts.slice;
        match slice.with_lease(now, |l| l.acquirable_version(now)) {
            Some(expected) => self.write(expected).await,
            None => slice.with_lease(now, |l| l.time_until_expiry(now)),
        }
    }

    /// Passes the era of the store on to the lease; returns whether it is a new one.
    fn see_era(&self, era: Era) -> bool {
        let parts = &self.parts;
        let now = parts.clock.now();
        let is_new = parts.slice.with_lease(now, |l| l.see_era(era, now));
        if is_new {
            let (centre, held) = (parts.data_centre.as_str(), parts.slice.is_held(now));
            log::info!(data_centre = centre, era:% = era, held = held;
                "slice lease in a new era of the store");
        }
        is_new
    }

    /// Returns whether this host is recorded as the holder, possibly from before a restart.
    fn is_recorded_holder(&self) -> bool {
        let holder = self.parts.holders.holder(&self.parts.data_centre);
        holder.as_deref() == Some(self.parts.peers.directory().own_host())
    }

    /// Asks the holder whether it holds the slice, unless it has answered recently, so that a lost
    /// holder is noticed before requests with a key arrive.
    async fn check_holder(&self, now: BootTime) {
        let parts = &self.parts;
        let centre = parts.data_centre.as_str();
        let Some(host) = parts.holders.unchecked_holder(centre, now) else {
            return;
        };
        let (req, kind) = (SliceStatusRequest {}, MessageKind::SliceStatus);
        let call = parts
            .peers
            .call_repeatable(&host, kind, &req, CHECK_TIMEOUT);
        let res: Result<SliceStatus, _> = call.await;
        let sent = now;
        let now = parts.clock.now();
        match res {
            Ok(status) => match status.moved {
                _ if status.held => parts.holders.record_available(centre, &host, now),
                Some(change) => parts.holders.announce(&change, now),
                None => parts.holders.record_unavailable(centre, &host, now),
            },
            Err(e) => {
                log::info!(holder = &*host, data_centre = centre, reason:? = e;
                    "slice holder did not respond to a check");
                if now.since(sent) < CHECK_TIMEOUT {
                    parts.holders.record_unavailable(centre, &host, now);
                } else {
                    parts.holders.record_silent(centre, &host, now);
                }
            }
        }
    }

    /// Returns whether the slice may lack a holder and it is this daemon's turn to watch the lease.
    fn is_due_to_watch(&mut self, now: BootTime) -> bool {
        let parts = &self.parts;
        let centre = parts.data_centre.as_str();
        let may_lack_holder = parts.holders.may_lack_holder(centre, now);
        let was_due = self.succession.is_due();
        let rank = self.rank();
        let is_due = self.succession.update(may_lack_holder, rank, now);
        if is_due && !was_due {
            let holder = parts.holders.holder(centre);
            log::info!(data_centre = centre, holder:? = holder, rank = rank.ahead,
                daemons = rank.daemons; "slice may lack a holder, watching its lease");
        }
        is_due
    }

    /// Returns the rank of this daemon among those of its data centre that may take over the slice.
    fn rank(&self) -> SuccessionRank {
        let parts = &self.parts;
        let holder = parts.holders.holder(&parts.data_centre);
        let peers = parts.peers.directory().peers();
        let others = peers.iter().filter(|p| {
            *p.data_centre == *parts.data_centre
                && Some(&*p.host) != holder.as_deref()
                && !p.leaving
        });
        SuccessionRank::new(parts.peers.directory().own_host(), others.map(|p| &*p.host))
    }

    /// Reads the lease and returns whether the read succeeded.
    async fn observe_lease(&self) -> bool {
        let Some(row) = self.read_row().await else {
            return false;
        };
        let now = self.parts.clock.now();
        let version = row.as_ref().map_or(0, |r| r.version);
        let is_own = row.is_some_and(|r| self.is_own_daemon(&r));
        self.parts
            .slice
            .with_lease(now, |l| l.observe(version, is_own, now));
        true
    }

    /// Reads the row of the lease, which may be absent; `None` if the store cannot be read.
    async fn read_row(&self) -> Option<Option<StoredRow>> {
        let centre = self.parts.data_centre.as_str();
        match self.parts.store.read(SLICES_TABLE, PART, centre).await {
            Ok(read) => {
                self.see_era(read.version.era);
                Some(read.rows.into_iter().find(|r| r.key == centre))
            }
            Err(e) => {
                let reason = e.to_string();
                log::warn!(data_centre = centre, reason = reason.as_str();
                    "cannot read slice lease");
                None
            }
        }
    }

    /// Returns whether this daemon or an earlier incarnation of it, which has ended, wrote the row.
    fn is_own_daemon(&self, row: &StoredRow) -> bool {
        let holder = LeaseHolder::from_row(row);
        holder.is_some_and(|holder| holder.is_same_daemon(&self.own_holder()))
    }

    /// Returns what a lease row of this daemon states.
    fn own_holder(&self) -> LeaseHolder {
        let parts = &self.parts;
        LeaseHolder {
            host: parts.peers.directory().own_host().to_owned(),
            incarnation: parts.incarnation,
            address: Some(parts.peer_address),
        }
    }

    async fn write(&self, expected: u64) -> Duration {
        let parts = &self.parts;
        let sent = parts.clock.now();
        let era = parts.slice.with_lease(sent, |l| l.era());
        let written = match self.puts(expected) {
            Ok(puts) => parts.store.write(&puts).await,
            Err(e) => Err(e),
        };
        let now = parts.clock.now();
        let centre = parts.data_centre.as_str();
        match written {
            Ok(WriteOutcome::Committed { version }) => {
                let was_held = parts.slice.is_held(now);
                let slice = &parts.slice;
                if !slice.with_lease(now, |l| l.record_commit(version, sent, era, now)) {
                    return RETRY_PAUSE;
                }
                if !was_held {
                    log::info!(data_centre = centre, row:? = version; "slice taken");
                }
                if self.must_announce(era) {
                    let host = parts.peers.directory().own_host();
                    parts.holders.set(centre, host, version);
                }
                self.announced_in.set(era);
                RENEW_INTERVAL
            }
            Ok(WriteOutcome::Conflict(_)) if self.see_era(parts.store.era()) => RETRY_PAUSE,
            Ok(WriteOutcome::Conflict(_)) => {
                log::info!(data_centre = centre, expected = expected;
                    "slice lease not acquired: the row has changed");
                parts.slice.with_lease(now, |l| l.mark_lost());
                CONFLICT_PAUSE
            }
            Err(e) => {
                let reason = e.to_string();
                let held = parts.slice.is_held(now);
                log::warn!(data_centre = centre, held = held, reason = reason.as_str();
                    "cannot acquire or renew slice lease");
                self.read_back().await;
                RETRY_PAUSE
            }
        }
    }

    /// Reads the row after a failed write to determine whether the write was committed.
    async fn read_back(&self) {
        let parts = &self.parts;
        let era = parts.slice.with_lease(parts.clock.now(), |l| l.era());
        let Some(row) = self.read_row().await else {
            return;
        };
        let now = parts.clock.now();
        let is_same_era = parts.slice.with_lease(now, |l| l.era()) == era;
        let is_own = row.as_ref().is_some_and(|r| self.is_own_incarnation(r));
        parts.slice.with_lease(now, |l| match row {
            // The write was committed; the term still counts from the last acknowledged write.
            Some(row) if is_own && is_same_era => l.adopt_own_write(row.version, now),
            Some(row) => l.observe(row.version, self.is_own_daemon(&row), now),
            None => l.observe(0, false, now),
        });
    }

    fn is_own_incarnation(&self, row: &StoredRow) -> bool {
        LeaseHolder::from_row(row).is_some_and(|h| h.incarnation == self.parts.incarnation)
    }

    /// Returns whether a write in `era` must announce this daemon as the holder.
    fn must_announce(&self, era: Era) -> bool {
        !self.is_recorded_holder() || self.announced_in.get() != era
    }

    /// Returns the writes that acquire or renew the lease; a new holder is also announced to all
    /// daemons, and once in each era, as the store may have lost the announcement.
    fn puts(&self, expected: u64) -> Result<Vec<RowPut>, StoreError> {
        let parts = &self.parts;
        let centre = parts.data_centre.as_str();
        let host = parts.peers.directory().own_host();
        let holder = self.own_holder();
        let lease = RowPut::json(SLICES_TABLE, PART, centre, Some(expected), &holder)?;
        let era = parts.slice.with_lease(parts.clock.now(), |l| l.era());
        if !self.must_announce(era) {
            return Ok(vec![lease]);
        }
        let announcement = HolderRow {
            host: host.to_owned(),
        };
        // Daemons follow the members, and read the other table when they join.
        let key = HolderRow::key(centre);
        let announce = |table| RowPut::json(table, PART, &key, None, &announcement);
        Ok(vec![
            lease,
            announce(MEMBERS_TABLE)?,
            announce(FLEET_TABLE)?,
        ])
    }
}
