//! What all caller connections share.

use std::{cell::RefCell, rc::Rc};

use crate::{
    claim::ClaimStore,
    clock::{BootTime, Clock},
    config::LimitSettings,
    health::{BalancerHandle, FailureTeller},
    http::HeadLimits,
    lifecycle::{BoundedCounter, PauseDetector, ShutdownSignal},
    limit::Limiter,
    metrics::Metrics,
    poison::PoisonWatch,
    pool::PoolHandle,
    retry::RetryTerms,
};

use super::{
    access_policy::{AccessPolicy, CallerLimits},
    head_format::HeadFormat,
    request_id::RequestIds,
    service_states::ServiceStates,
};

/// Most connections that are open only to be told that there is no room.
const MAX_REFUSED_CONNECTIONS: usize = 256;

/// What all caller connections share.
pub struct ProxyContext {
    /// Bounds of this daemon.
    pub limits: LimitSettings,
    /// Decides what the lists allow.
    pub policy: Rc<dyn AccessPolicy>,
    /// Reads and writes the heads of callers and targets.
    pub heads: Rc<dyn HeadFormat>,
    /// Counts rates.
    pub limiter: Box<dyn Limiter>,
    /// Chooses targets.
    pub balancer: BalancerHandle,
    /// Whether idempotent requests leave a silent target for another one.
    pub leaves_silent: bool,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; none where callers send no request twice.
    pub claims: Option<ClaimStore>,
    /// Watches for requests that crash targets.
    pub poison: PoisonWatch,
    /// Tells the fleet of targets that break off work; none where daemons judge by themselves.
    pub failures: Option<FailureTeller>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// When the daemon started.
    pub started: BootTime,
    /// The signal that the balancer is to send no new callers.
    pub leaving: ShutdownSignal,
    /// The signal that no further connections and requests are taken.
    pub shutdown: ShutdownSignal,
    /// Counts pauses of the process.
    pub pauses: PauseDetector,
    /// Open connections of callers.
    pub connections: BoundedCounter,
    /// Requests in flight.
    pub in_flight: BoundedCounter,
    pub(super) services: ServiceStates,
    /// Connections that are refused for lack of room.
    pub refused_connections: BoundedCounter,
    /// Bytes of request bodies that are buffered.
    pub buffered: BoundedCounter,
    request_ids: RefCell<RequestIds>,
}

/// The parts of which a [`ProxyContext`] is made.
pub struct ProxyParts {
    /// Bounds of this daemon.
    pub limits: LimitSettings,
    /// Decides what the lists allow.
    pub policy: Rc<dyn AccessPolicy>,
    /// Reads and writes the heads of callers and targets.
    pub heads: Rc<dyn HeadFormat>,
    /// Counts rates.
    pub limiter: Box<dyn Limiter>,
    /// How much retries may add to the load of a service.
    pub retry_terms: RetryTerms,
    /// Chooses targets.
    pub balancer: BalancerHandle,
    /// Whether idempotent requests leave a silent target for another one.
    pub leaves_silent: bool,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; none where callers send no request twice.
    pub claims: Option<ClaimStore>,
    /// Watches for requests that crash targets.
    pub poison: PoisonWatch,
    /// Tells the fleet of targets that break off work; none where daemons judge by themselves.
    pub failures: Option<FailureTeller>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The signal that the balancer is to send no new callers.
    pub leaving: ShutdownSignal,
    /// The signal of a shutdown.
    pub shutdown: ShutdownSignal,
}

impl ProxyContext {
    /// Makes the context from its parts.
    pub fn new(parts: ProxyParts) -> Self {
        Self {
            connections: BoundedCounter::new(parts.limits.connections),
            in_flight: BoundedCounter::new(parts.limits.in_flight),
            refused_connections: BoundedCounter::new(MAX_REFUSED_CONNECTIONS),
            buffered: BoundedCounter::new(parts.limits.buffered_bytes),
            limits: parts.limits,
            policy: parts.policy,
            heads: parts.heads,
            limiter: parts.limiter,
            balancer: parts.balancer,
            leaves_silent: parts.leaves_silent,
            pool: parts.pool,
            claims: parts.claims,
            poison: parts.poison,
            failures: parts.failures,
            metrics: parts.metrics,
            pauses: PauseDetector::new(parts.clock.clone()),
            started: parts.clock.now(),
            clock: parts.clock,
            leaving: parts.leaving,
            shutdown: parts.shutdown,
            services: ServiceStates::new(parts.retry_terms),
            request_ids: RefCell::new(RequestIds::default()),
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> String {
        self.request_ids.borrow_mut().next()
    }

    /// Returns the bounds on what callers may send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.policy.caller_limits(CallerLimits {
            head: HeadLimits {
                max_bytes: self.limits.head_bytes,
                timeout: self.limits.head_timeout,
            },
            body_bytes: u64::MAX,
            idle: self.limits.idle_timeout,
        })
    }
}
