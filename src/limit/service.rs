//! Startup of rate limiting in a daemon.

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

/// Dependencies of the rate limiter.
pub struct LimitParts {
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The platform's list of hosts.
    pub list: Rc<dyn HostList>,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// The plans.
    pub catalog: CatalogView,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
}

/// The running rate limiter of a daemon.
pub struct LimitService {
    /// Decides which requests are admitted.
    pub limiter: Box<dyn Limiter>,
    /// Hands over the slices at a shutdown; `None` for limiters that own no slices.
    pub ownership: Option<Rc<OwnershipManager>>,
    /// Channel for updates of the number of daemons.
    pub tx: mpsc::unbounded::Tx<LimiterMessage>,
}

impl LimitService {
    /// Starts the tasks of the rate limiter and registers its handlers for peer messages in
    /// `router`.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system provides no random bytes.
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
        let random = getrandom::u64()
            .map_err(|_| io::Error::other("operating system provides no random bytes"))?;
        let session = SessionId::new(&settings.host, random);
        let state = OwnershipHandle::new(
            OwnershipState::new(session, &settings.data_centre),
            refresh_tx,
        );
        let handler = TokenRequestHandler {
            ownership: state.clone(),
            catalog: parts.catalog,
            clock: parts.clock.clone(),
            metrics: parts.metrics.clone(),
        };
        router.register(MessageKind::Ask, Rc::new(handler));
        let handler = HandoverHandler {
            ownership: state.clone(),
        };
        router.register(MessageKind::Handover, Rc::new(handler));
        let ownership = Rc::new(OwnershipManager {
            state: state.clone(),
            table: parts.table,
            host_list: parts.list,
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
            ownership: state,
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
