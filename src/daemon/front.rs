//! An entry daemon on the users' platform, from start to shutdown.

use std::{
    io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use local_sync::mpsc;

use crate::{
    admission::AdmissionHandle,
    config::{self, FrontSettings},
    follow::SharedReaderRole,
    health::{BalancerHandle, FailureHandler, FailureNotifier, LendHandler, TokenBorrower},
    lifecycle::{ShutdownSignal, Signals},
    membership::Incarnation,
    peer::{
        peer_server_task, FleetBroadcast, FleetSecrets, MessageKind, PeerClient, PeerDirectory,
        PeerRouter, PeerServer,
    },
    poison::{PoisonHandler, PoisonTracker},
    pool::{pool_task, PoolHandle},
    proxy::{listen_task, ProxyContext, ProxyParts, RetryBudgetSource},
    quota::{
        HandoverHandler, LeaseParts, LeaseTask, LocalSlice, QuotaLimiter, QuotaParts, SliceHolders,
        SliceShare, SliceStatusHandler, TokenHandler,
    },
    retry::RetryBudgetConfig,
};

use super::{
    front_base::FrontBase,
    front_shutdown::{shut_down, HeldRoles},
    front_tables::Following,
    health_parts::{start_health, HealthParts},
    runtime::{bind, run_on_thread},
    DaemonError,
};

/// Timeout for notifying the fleet of targets that abort requests.
const BROADCAST_TIMEOUT: Duration = Duration::from_millis(500);
/// Retry budget of one daemon. The share stays below the operator's limit of 0.2, and the saved
/// retries of all daemons together below the operator's slack of more than one per daemon.
const RETRY_BUDGET: RetryBudgetConfig = RetryBudgetConfig {
    answer_ratio: 0.15,
    request_ratio: 0.0,
    max_tokens: 1.0,
    floor_per_s: 0.0,
};
/// Delay after a failure to read signals.
const RELOAD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Runs an entry daemon until SIGTERM or SIGINT, and returns after a graceful shutdown.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a system resource is not available.
pub fn run_front(settings: FrontSettings, file: PathBuf) -> Result<(), DaemonError> {
    run_on_thread(run_tasks(Rc::new(settings), file))
}

/// Checks the settings file on each reload signal and logs the result. Changed settings take
/// effect on the next start.
async fn reload_task(mut signals: Signals, file: PathBuf) {
    while let Err(e) = next_reload(&mut signals, &file).await {
        log::error!("cannot read reload signals: {e}");
        monoio::time::sleep(RELOAD_RETRY_DELAY).await;
    }
}

async fn next_reload(signals: &mut Signals, file: &Path) -> io::Result<()> {
    loop {
        signals.next().await?;
        match config::load_front(file) {
            Ok(_) => log::info!("settings file is valid, takes effect on the next start"),
            Err(e) => log::error!("settings file rejected, settings unchanged: {e}"),
        }
    }
}

async fn run_tasks(settings: Rc<FrontSettings>, file: PathBuf) -> Result<(), DaemonError> {
    monoio::spawn(reload_task(Signals::hangup()?, file));
    let caller_listener = bind(settings.caller_address)?;
    let peer_listener = bind(settings.peer_address)?;
    let ready_listener = bind(settings.ready_address)?;
    let incarnation = Incarnation::random().ok_or(DaemonError::Io(io::ErrorKind::Other))?;
    let draining = ShutdownSignal::default();
    let base = FrontBase::new(settings);
    base.start_readiness_server(ready_listener, &draining);

    let secrets = FleetSecrets::default();
    let directory = PeerDirectory::new(&base.settings.host, &Default::default());
    let peers = PeerClient::new(secrets.clone(), directory, base.metrics.clone());
    let role = SharedReaderRole::default();
    let admission = base.admission(&role, peers.directory());
    let front = FrontDaemon {
        base,
        peers,
        role,
        admission,
    };
    let mut router = PeerRouter::default();
    let balancer = front.start_balancer(&mut router);
    let holders = SliceHolders::default();
    let tables = front.make_tables(&balancer, &holders);
    let following = front.prepare_following(&tables, &mut router);
    let (limiter, lease) = front.prepare_quota(&holders, &following, &mut router, incarnation);
    let mut roles = None;
    let poison = front.start_poison(&mut router);
    monoio::spawn(peer_server_task(
        Rc::new(PeerServer {
            secrets: secrets.clone(),
            router,
            metrics: front.base.metrics.clone(),
        }),
        peer_listener,
    ));

    let proxy = front.make_proxy(balancer, limiter, poison, draining);
    monoio::spawn(proxy.pauses.clone().run());
    monoio::spawn(listen_task(proxy.clone(), caller_listener));
    let settings = &front.base.settings;
    log::info!("serving callers on {}", settings.caller_address);

    let mut termination = Signals::termination()?;
    monoio::select! {
        joined = front.base.join() => {
            secrets.set(std::slice::from_ref(&joined.secret));
            monoio::spawn(front.base.lost_rows_task(&tables, &secrets, joined.secret).run());
            let known = [joined.members, joined.holders].concat();
            tables.members.sink().replace(known, front.base.clock.now());
            roles = Some(front.held_roles(&lease, &following));
            following.start();
            monoio::spawn(lease.run());
            termination.next().await?;
        }
        stopped = termination.next() => stopped?,
    }
    shut_down(&proxy, settings, roles).await;
    Ok(())
}

/// Handles of the health and balancer tasks.
pub(super) struct BalancerParts {
    pub(super) handle: BalancerHandle,
    failure_notifier: FailureNotifier,
}

/// A daemon that has joined the fleet.
pub(super) struct FrontDaemon {
    pub(super) base: FrontBase,
    pub(super) peers: PeerClient,
    pub(super) role: SharedReaderRole,
    pub(super) admission: AdmissionHandle,
}

impl FrontDaemon {
    fn broadcast(&self) -> FleetBroadcast {
        let centre = &self.base.settings.data_centre;
        FleetBroadcast::new(self.peers.clone(), centre, BROADCAST_TIMEOUT)
    }

    /// Returns the roles that this daemon hands over when it stops.
    fn held_roles(&self, lease: &LeaseTask, following: &Following) -> HeldRoles {
        HeldRoles {
            lease: lease.handle(),
            reader: following.role().clone(),
            broadcast: self.broadcast(),
            metrics: self.base.metrics.clone(),
        }
    }

    fn start_balancer(&self, router: &mut PeerRouter) -> BalancerParts {
        let (base, settings) = (&self.base, &self.base.settings);
        let centre = settings.data_centre.as_str();
        let broadcast = self.broadcast();
        let failure_notifier = FailureNotifier::new(broadcast.clone());
        let parts = HealthParts {
            host: &settings.host,
            data_centre: centre,
            profile: settings.profile,
            floor: settings.floor,
            prefers_local: true,
            failure_notifier: Some(failure_notifier.clone()),
            peers: self.peers.clone(),
            heads: base.heads.clone(),
            clock: base.clock.clone(),
            metrics: base.metrics.clone(),
        };
        let handle = start_health(parts, router);
        let handler = FailureHandler {
            balancer: handle.clone(),
            broadcast,
        };
        router.register(MessageKind::Failure, Rc::new(handler));
        let handler = LendHandler {
            balancer: handle.clone(),
            metrics: base.metrics.clone(),
        };
        router.register(MessageKind::Lend, Rc::new(handler));
        BalancerParts {
            handle,
            failure_notifier,
        }
    }

    /// Creates the limiter, and the task of the slice lease, which runs once the fleet is known.
    fn prepare_quota(
        &self,
        holders: &SliceHolders,
        following: &Following,
        router: &mut PeerRouter,
        incarnation: Incarnation,
    ) -> (QuotaLimiter, LeaseTask) {
        let (base, settings) = (&self.base, &self.base.settings);
        let slice = LocalSlice::new(SliceShare {
            slices: settings.data_centres.len() as u32,
            slack: settings.quota_slack,
        });
        let broadcast = self.broadcast();
        let lease = LeaseTask::new(LeaseParts {
            store: base.store.clone(),
            slice: slice.clone(),
            holders: holders.clone(),
            peers: self.peers.clone(),
            data_centre: settings.data_centre.clone(),
            incarnation,
            peer_address: settings.peer_address,
            clock: base.clock.clone(),
            broadcast: broadcast.clone(),
            metrics: base.metrics.clone(),
            first_start: settings.first_start,
        });
        let handler = TokenHandler {
            slice: slice.clone(),
            view: base.view.clone(),
            clock: base.clock.clone(),
            metrics: base.metrics.clone(),
        };
        router.register(MessageKind::Ask, Rc::new(handler));
        let handler = HandoverHandler {
            lease: lease.handle(),
            holders: holders.clone(),
            leaving_readers: following.leaving_readers.clone(),
            broadcast,
            clock: base.clock.clone(),
        };
        router.register(MessageKind::Handover, Rc::new(handler));
        let handler = SliceStatusHandler {
            slice: slice.clone(),
            clock: base.clock.clone(),
        };
        router.register(MessageKind::SliceStatus, Rc::new(handler));
        let limiter = QuotaLimiter::new(QuotaParts {
            slice,
            holders: holders.clone(),
            peers: self.peers.clone(),
            data_centre: settings.data_centre.clone(),
            clock: base.clock.clone(),
            metrics: base.metrics.clone(),
        });
        (limiter, lease)
    }

    fn token_borrower(&self, balancer: BalancerHandle) -> TokenBorrower {
        TokenBorrower {
            balancer,
            peers: self.peers.clone(),
            metrics: self.base.metrics.clone(),
        }
    }

    fn start_poison(&self, router: &mut PeerRouter) -> PoisonTracker {
        let base = &self.base;
        let centre = &base.settings.data_centre;
        let poison = PoisonTracker::new(self.peers.clone(), centre, base.clock.clone());
        let handler = PoisonHandler::new(poison.clone());
        router.register(MessageKind::Poison, Rc::new(handler));
        poison
    }

    /// Returns the limits on retries: this daemon's part of the fleet's limit, if there is one.
    fn retry_budget(&self) -> RetryBudgetSource {
        let Some(limit) = self.base.settings.retry_limit() else {
            return Box::new(|| RETRY_BUDGET);
        };
        let directory = self.peers.directory().clone();
        Box::new(move || limit.budget(directory.peers().len() + 1))
    }

    fn make_proxy(
        &self,
        balancer: BalancerParts,
        limiter: QuotaLimiter,
        poison: PoisonTracker,
        draining: ShutdownSignal,
    ) -> Rc<ProxyContext> {
        let base = &self.base;
        let (pool_tx, pool_rx) = mpsc::unbounded::channel();
        monoio::spawn(pool_task(pool_rx, base.clock.clone()));
        Rc::new(ProxyContext::new(ProxyParts {
            limits: base.settings.limits.clone(),
            policy: base.policy.clone(),
            heads: base.heads.clone(),
            limiter: Box::new(limiter),
            balancer: self.token_borrower(balancer.handle),
            pool: PoolHandle::new(pool_tx),
            // Aborting work that a target has started costs more than a slow response.
            retry_on_silence: false,
            retry_error_answers: self.base.settings.retry_limit().is_some(),
            claims: None,
            admission: Some(self.admission.clone()),
            poison,
            retry_budget: self.retry_budget(),
            hedging: base.settings.hedging,
            failure_notifier: Some(balancer.failure_notifier),
            metrics: base.metrics.clone(),
            clock: base.clock.clone(),
            draining,
            shutdown: ShutdownSignal::default(),
        }))
    }
}
