//! What all caller connections share.

use std::{cell::RefCell, rc::Rc};

use crate::{
    claim::ClaimStore,
    clock::{BootTime, Clock},
    config::LimitSettings,
    health::{BalancerHandle, FailureNotifier},
    http::HeadLimits,
    lifecycle::{BoundedCounter, PauseDetector, ShutdownSignal},
    limit::Limiter,
    metrics::Metrics,
    poison::PoisonTracker,
    pool::PoolHandle,
    retry::RetryBudgetConfig,
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
    pub retry_on_silence: bool,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; none where callers send no request twice.
    pub claims: Option<ClaimStore>,
    /// Watches for requests that crash targets.
    pub poison: PoisonTracker,
    /// Tells the fleet of targets that break off work; none where daemons judge by themselves.
    pub failure_notifier: Option<FailureNotifier>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// When the daemon started.
    pub started_at: BootTime,
    /// The signal that the balancer is to send no new callers.
    pub draining: ShutdownSignal,
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
    pub buffered_bytes: BoundedCounter,
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
    pub retry_budget: RetryBudgetConfig,
    /// Chooses targets.
    pub balancer: BalancerHandle,
    /// Whether idempotent requests leave a silent target for another one.
    pub retry_on_silence: bool,
    /// Keeps idle connections.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; none where callers send no request twice.
    pub claims: Option<ClaimStore>,
    /// Watches for requests that crash targets.
    pub poison: PoisonTracker,
    /// Tells the fleet of targets that break off work; none where daemons judge by themselves.
    pub failure_notifier: Option<FailureNotifier>,
    /// The counters.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The signal that the balancer is to send no new callers.
    pub draining: ShutdownSignal,
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
            buffered_bytes: BoundedCounter::new(parts.limits.buffered_bytes),
            limits: parts.limits,
            policy: parts.policy,
            heads: parts.heads,
            limiter: parts.limiter,
            balancer: parts.balancer,
            retry_on_silence: parts.retry_on_silence,
            pool: parts.pool,
            claims: parts.claims,
            poison: parts.poison,
            failure_notifier: parts.failure_notifier,
            metrics: parts.metrics,
            pauses: PauseDetector::new(parts.clock.clone()),
            started_at: parts.clock.now(),
            clock: parts.clock,
            draining: parts.draining,
            shutdown: parts.shutdown,
            services: ServiceStates::new(parts.retry_budget),
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
            idle_timeout: self.limits.idle_timeout,
        })
    }
}
