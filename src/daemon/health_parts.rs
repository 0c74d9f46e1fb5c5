//! Startup of target health checking and load balancing.

use std::rc::Rc;

use local_sync::mpsc;
use rustc_hash::FxHashMap;

use crate::{
    clock::Clock,
    health::{
        balancer_task, probe_task, Balancer, BalancerHandle, BalancerTaskParts, FailureNotifier,
        Member, Profile, SequentialDetector, SuspicionExchange, SuspicionHandler, SuspicionTask,
    },
    metrics::Metrics,
    peer::{MessageKind, PeerClient, PeerRouter},
    proxy::HeadFormat,
};

/// Dependencies of the health and balancer tasks.
pub(super) struct HealthParts<'a> {
    /// Name of this host.
    pub(super) host: &'a str,
    /// Data centre of this host.
    pub(super) data_centre: &'a str,
    /// Trade-off between false ejections and detection time.
    pub(super) profile: Profile,
    /// Minimum share of a service's live capacity that stays in use.
    pub(super) floor: f64,
    /// Whether targets in the local data centre are preferred.
    pub(super) prefers_local: bool,
    /// Notifies the fleet of recovered targets; `None` if each daemon judges targets by itself.
    pub(super) failure_notifier: Option<FailureNotifier>,
    /// Client for calls to other daemons.
    pub(super) peers: PeerClient,
    /// Parses the state that targets report in their response heads.
    pub(super) heads: Rc<dyn HeadFormat>,
    /// Source of the current time.
    pub(super) clock: Rc<dyn Clock>,
    /// The counters.
    pub(super) metrics: Rc<Metrics>,
}

/// Starts the health and balancer tasks, and registers the handler of other daemons' suspicions
/// with `router`.
pub(super) fn start_health(parts: HealthParts<'_>, router: &mut PeerRouter) -> BalancerHandle {
    let options = parts.profile.options();
    let (suspicion_tx, suspicion_rx) = mpsc::unbounded::channel();
    let (balancer_tx, balancer_rx) = mpsc::unbounded::channel();
    let balancer = BalancerHandle::new(balancer_tx);
    let detector = Box::new(SequentialDetector::new(options));
    let state = Balancer::new(detector, parts.floor, fastrand::u64(..));
    let state = if parts.prefers_local {
        state.prefer_data_centre(parts.data_centre)
    } else {
        state
    };
    monoio::spawn(balancer_task(
        state,
        balancer_rx,
        BalancerTaskParts {
            handle: balancer.clone(),
            clock: parts.clock.clone(),
            metrics: parts.metrics.clone(),
            suspicions: suspicion_tx.clone(),
            failure_notifier: parts.failure_notifier,
            directory: parts.peers.directory().clone(),
        },
    ));
    monoio::spawn(probe_task(balancer.clone(), parts.heads));
    let own = Member {
        host: Rc::from(parts.host),
        data_centre: Rc::from(parts.data_centre),
    };
    let suspicions = SuspicionTask {
        exchange: SuspicionExchange::new(own, options.fleet_threshold, parts.clock.now()),
        peers: parts.peers,
        balancer: balancer.clone(),
        metrics: parts.metrics,
        clock: parts.clock,
        tx: suspicion_tx.clone(),
        in_flight: FxHashMap::default(),
    };
    monoio::spawn(suspicions.run(suspicion_rx));
    let handler = SuspicionHandler { tx: suspicion_tx };
    router.register(MessageKind::Suspicion, Rc::new(handler));
    balancer
}
