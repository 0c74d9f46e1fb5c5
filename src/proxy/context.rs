//! State shared by all caller connections.

use std::{cell::RefCell, rc::Rc};

use crate::{
    admission::AdmissionHandle,
    claim::ClaimStore,
    clock::{BootTime, Clock},
    config::LimitSettings,
    health::{FailureNotifier, TokenBorrower},
    http::HeadLimits,
    lifecycle::{BoundedCounter, PauseDetector, ShutdownGrace, ShutdownSignal},
    limit::Limiter,
    metrics::Metrics,
    poison::PoisonTracker,
    pool::PoolHandle,
};

use super::{
    access_policy::{AccessPolicy, CallerLimits},
    head_format::HeadFormat,
    hedging_states::HedgingStates,
    request_id::RequestIds,
    retry_states::{RetryBudgetSource, ServiceRetryStates},
};

/// Maximum number of connections that are kept open only to be refused with an error response.
const MAX_REFUSED_CONNECTIONS: usize = 256;

/// State shared by all caller connections.
pub struct ProxyContext {
    /// Limits of this daemon.
    pub limits: LimitSettings,
    /// Authorizes requests.
    pub policy: Rc<dyn AccessPolicy>,
    /// Reads and writes message heads of callers and targets.
    pub heads: Rc<dyn HeadFormat>,
    /// Enforces rate limits.
    pub limiter: Box<dyn Limiter>,
    /// Picks targets.
    pub balancer: TokenBorrower,
    /// Whether repeatable requests are retried at another target when a target goes silent.
    pub retry_on_silence: bool,
    /// Whether repeatable requests are retried at another target when a target answers with an
    /// error of its own.
    pub retry_error_answers: bool,
    /// Pool of idle connections to targets.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; `None` if callers never repeat a request.
    pub claims: Option<ClaimStore>,
    /// Admits requests over the whole fleet by rank; `None` if all have one rank.
    pub admission: Option<AdmissionHandle>,
    /// Tracks requests that crash targets.
    pub poison: PoisonTracker,
    /// Notifies the fleet of failed targets; `None` if each daemon relies on its own observations.
    pub failure_notifier: Option<FailureNotifier>,
    /// Metrics of the daemon.
    pub metrics: Rc<Metrics>,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Time at which the daemon started.
    pub started_at: BootTime,
    /// Signal that the daemon reports that it is not ready, so that the load balancer in front of
    /// it sends no new callers.
    pub draining: ShutdownSignal,
    /// Signal that no further connections and requests are accepted.
    pub shutdown: ShutdownSignal,
    /// Time that a shutdown leaves for requests.
    pub grace: ShutdownGrace,
    /// Detects pauses of the process.
    pub pauses: PauseDetector,
    /// Open caller connections.
    pub connections: BoundedCounter,
    /// Requests in flight.
    pub in_flight: BoundedCounter,
    pub(super) retry_states: ServiceRetryStates,
    pub(super) hedging: HedgingStates,
    /// Connections that are being refused because there are too many.
    pub refused_connections: BoundedCounter,
    /// Bytes of buffered request bodies.
    pub buffered_bytes: BoundedCounter,
    request_ids: RefCell<RequestIds>,
}

/// Components of a [`ProxyContext`].
pub struct ProxyParts {
    /// Limits of this daemon.
    pub limits: LimitSettings,
    /// Authorizes requests.
    pub policy: Rc<dyn AccessPolicy>,
    /// Reads and writes message heads of callers and targets.
    pub heads: Rc<dyn HeadFormat>,
    /// Enforces rate limits.
    pub limiter: Box<dyn Limiter>,
    /// Limits on the retries of each service.
    pub retry_budget: RetryBudgetSource,
    /// Largest share of extra requests of each service that hedging may add; `None` if requests are
    /// not hedged.
    pub hedging: Option<f64>,
    /// Picks targets.
    pub balancer: TokenBorrower,
    /// Whether repeatable requests are retried at another target when a target goes silent.
    pub retry_on_silence: bool,
    /// Whether repeatable requests are retried at another target when a target answers with an
    /// error of its own.
    pub retry_error_answers: bool,
    /// Pool of idle connections to targets.
    pub pool: PoolHandle,
    /// Claims of requests that must not run twice; `None` if callers never repeat a request.
    pub claims: Option<ClaimStore>,
    /// Admits requests over the whole fleet by rank; `None` if all have one rank.
    pub admission: Option<AdmissionHandle>,
    /// Tracks requests that crash targets.
    pub poison: PoisonTracker,
    /// Notifies the fleet of failed targets; `None` if each daemon relies on its own observations.
    pub failure_notifier: Option<FailureNotifier>,
    /// Metrics of the daemon.
    pub metrics: Rc<Metrics>,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Signal that the daemon reports that it is not ready, so that the load balancer in front of
    /// it sends no new callers.
    pub draining: ShutdownSignal,
    /// Signal that a shutdown has started.
    pub shutdown: ShutdownSignal,
}

impl ProxyContext {
    /// Creates the context from its components.
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
            retry_error_answers: parts.retry_error_answers,
            pool: parts.pool,
            claims: parts.claims,
            admission: parts.admission,
            poison: parts.poison,
            failure_notifier: parts.failure_notifier,
            metrics: parts.metrics,
            pauses: PauseDetector::new(parts.clock.clone()),
            started_at: parts.clock.now(),
            clock: parts.clock,
            draining: parts.draining,
            shutdown: parts.shutdown,
            grace: ShutdownGrace::default(),
            retry_states: ServiceRetryStates::new(parts.retry_budget),
            hedging: HedgingStates::new(parts.hedging),
            request_ids: RefCell::new(RequestIds::default()),
        }
    }

    /// Returns a new request id.
    pub fn next_request_id(&self) -> String {
        self.request_ids.borrow_mut().next()
    }

    /// Returns the limits on requests of callers.
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
