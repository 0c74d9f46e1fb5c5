//! Start of the part of a daemon that counts rates.

use std::{
    cell::{Cell, RefCell},
    io,
    rc::Rc,
};

use local_sync::mpsc;

use crate::{
    clock::Clock,
    config::{LimiterKind, Settings},
    lease::{SessionId, SliceId},
    metrics::Metrics,
    peer::{MessageKind, PeerClient, PeerRouter},
    store::{HostList, Table},
    sync::CatalogView,
};

use super::{
    ownership_task, static_split_task, DistributedLimiter, HandoverHandler, Limiter,
    LimiterMessage, NegativeCache, OwnershipHandle, OwnershipManager, OwnershipState, TaskLimiter,
    TokenRequestHandler,
};

/// What the part that counts rates needs.
pub struct LimitParts {
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The platform's list of hosts.
    pub list: Rc<dyn HostList>,
    /// Calls other daemons.
    pub peers: PeerClient,
    /// The plans.
    pub catalog: CatalogView,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// The running part that counts rates.
pub struct LimitService {
    /// Decides on requests.
    pub limiter: Box<dyn Limiter>,
    /// What must be handed over at a shutdown; none when nothing is owned.
    pub ownership: Option<Rc<OwnershipManager>>,
    /// Takes the count of daemons.
    pub tx: mpsc::unbounded::Tx<LimiterMessage>,
}

impl LimitService {
    /// Starts the tasks that count rates, and handles other daemons' asks in `router`.
    ///
    /// # Errors
    ///
    /// Returns an error when the system gives no random bytes.
    pub fn start(
        settings: &Settings,
        parts: LimitParts,
        router: &mut PeerRouter,
    ) -> io::Result<Self> {
        let (tx, rx) = mpsc::unbounded::channel();
        monoio::spawn(static_split_task(rx, parts.clock.clone()));
        if settings.limiter == LimiterKind::StaticSplit {
            return Ok(Self {
                limiter: Box::new(TaskLimiter::new(tx.clone())),
                ownership: None,
                tx,
            });
        }
        let (refresh_tx, refresh_rx) = mpsc::unbounded::channel();
        let random = getrandom::u64().map_err(|_| io::Error::other("no random bytes"))?;
        let session = SessionId::new(&settings.host, random);
        let owner = OwnershipHandle::new(
            OwnershipState::new(session, &settings.data_centre),
            refresh_tx,
        );
        let handler = TokenRequestHandler {
            owner: owner.clone(),
            catalog: parts.catalog,
            clock: parts.clock.clone(),
            metrics: parts.metrics.clone(),
        };
        router.register(MessageKind::Ask, Rc::new(handler));
        let handler = HandoverHandler {
            owner: owner.clone(),
        };
        router.register(MessageKind::Handover, Rc::new(handler));
        let ownership = Rc::new(OwnershipManager {
            owner: owner.clone(),
            table: parts.table,
            list: parts.list,
            peers: parts.peers.clone(),
            host: settings.host.clone(),
            data_centre: settings.data_centre.clone(),
            clock: parts.clock.clone(),
            metrics: parts.metrics.clone(),
            slices: SliceId::all().collect(),
            released: Cell::new(false),
        });
        monoio::spawn(ownership_task(ownership.clone(), refresh_rx));
        let limiter = DistributedLimiter {
            owner,
            peers: parts.peers,
            data_centre: settings.data_centre.clone(),
            negative_cache: RefCell::new(NegativeCache::default()),
            clock: parts.clock,
            metrics: parts.metrics,
        };
        Ok(Self {
            limiter: Box::new(limiter),
            ownership: Some(ownership),
            tx,
        })
    }
}
