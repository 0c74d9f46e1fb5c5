//! What all caller connections share.

use std::{cell::RefCell, rc::Rc};

use crate::{
    catalog::KeyHasher,
    claim::ClaimStore,
    clock::{BootTime, Clock},
    config::LimitSettings,
    health::BalancerHandle,
    http::HeadLimits,
    lifecycle::{InFlight, PauseWatch, Shutdown},
    limit::Limiter,
    metrics::Metrics,
    poison::PoisonWatch,
    pool::PoolHandle,
    sync::CatalogView,
};

use super::{request_id::RequestIds, service_states::ServiceStates};

/// Most connections that are open only to be told that there is no room.
const MAX_REFUSED_CONNECTIONS: usize = 256;

/// What all caller connections share.
pub struct ProxyContext {
    /// Bounds of this daemon.
    pub limits: LimitSettings,
    /// The lists and keys.
    pub catalog: CatalogView,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Counts rates.
    pub limiter: Box<dyn Limiter>,
    /// Chooses targets.
    pub balancer: BalancerHandle,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice.
    pub claims: ClaimStore,
    /// Watches for requests that crash targets.
    pub poison: PoisonWatch,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// When the daemon started.
    pub started: BootTime,
    /// The signal that the balancer is to send no new callers.
    pub leaving: Shutdown,
    /// The signal that no further connections and requests are taken.
    pub shutdown: Shutdown,
    /// Counts pauses of the process.
    pub pauses: PauseWatch,
    /// Open connections of callers.
    pub connections: InFlight,
    /// Requests in flight.
    pub in_flight: InFlight,
    pub(super) services: ServiceStates,
    /// Connections that are refused for lack of room.
    pub refused_connections: InFlight,
    /// Bytes of request bodies that are buffered.
    pub buffered: InFlight,
    request_ids: RefCell<RequestIds>,
}

/// The parts of which a [`ProxyContext`] is made.
pub struct ProxyParts {
    /// Bounds of this daemon.
    pub limits: LimitSettings,
    /// The lists and keys.
    pub catalog: CatalogView,
    /// Hashes callers' keys.
    pub hasher: KeyHasher,
    /// Counts rates.
    pub limiter: Box<dyn Limiter>,
    /// Chooses targets.
    pub balancer: BalancerHandle,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice.
    pub claims: ClaimStore,
    /// Watches for requests that crash targets.
    pub poison: PoisonWatch,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The signal of a shutdown.
    pub shutdown: Shutdown,
}

impl ProxyContext {
    /// Makes the context from its parts.
    pub fn new(parts: ProxyParts) -> Self {
        Self {
            connections: InFlight::new(parts.limits.connections),
            in_flight: InFlight::new(parts.limits.in_flight),
            refused_connections: InFlight::new(MAX_REFUSED_CONNECTIONS),
            buffered: InFlight::new(parts.limits.buffered_bytes),
            limits: parts.limits,
            catalog: parts.catalog,
            hasher: parts.hasher,
            limiter: parts.limiter,
            balancer: parts.balancer,
            pool: parts.pool,
            claims: parts.claims,
            poison: parts.poison,
            metrics: parts.metrics,
            pauses: PauseWatch::new(parts.clock.clone()),
            started: parts.clock.now(),
            clock: parts.clock,
            leaving: Shutdown::default(),
            shutdown: parts.shutdown,
            services: ServiceStates::default(),
            request_ids: RefCell::new(RequestIds::default()),
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> String {
        self.request_ids.borrow_mut().next()
    }

    /// Returns the bounds of message heads.
    pub fn head_limits(&self) -> HeadLimits {
        HeadLimits {
            max_bytes: self.limits.head_bytes,
            timeout: self.limits.head_timeout,
        }
    }
}
