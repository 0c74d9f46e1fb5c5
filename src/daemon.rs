//! One daemon: its tasks, from start to shutdown.

use std::{
    io,
    mem::ManuallyDrop,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use local_sync::mpsc;
use monoio::{
    net::{ListenerOpts, TcpListener},
    LegacyDriver, RuntimeBuilder,
};
use rustc_hash::FxHashMap;

use crate::{
    catalog::KeyHasher,
    claim::{claim_sweep_task, ClaimStore},
    clock::{BootTime, Clock, SystemClock},
    config::Settings,
    health::{
        balancer_task, probe_task, Balancer, BalancerHandle, Member, Sequential, SuspicionExchange,
        SuspicionHandler, SuspicionTask,
    },
    hosts::host_list_task,
    lifecycle::{wait_for_stop_signal, Shutdown, ShutdownSteps},
    limit::{LimitParts, LimitService},
    membership::Incarnation,
    metrics::{export_task, Metrics},
    native::HttpPlatform,
    operator::{operator_task, OperatorContext},
    peer::{
        peer_server_task, FleetSecrets, PeerClient, PeerDirectory, PeerKind, PeerRouter, PeerServer,
    },
    poison::{PoisonHandler, PoisonWatch},
    pool::{pool_task, PoolHandle},
    proxy::{listen_task, ProxyContext, ProxyParts},
    sync::{sync_task, CatalogView, ContactHandler, Replica, ReplicaParts, RevisionHandler},
};

/// Longest time for one step behind the last request of a shutdown.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at the requests in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

/// Why a daemon ended with an error.
#[derive(Debug)]
pub enum DaemonError {
    /// An address could not be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// The reason.
        kind: io::ErrorKind,
    },
    /// The system refused something else.
    Io(io::ErrorKind),
}

impl From<io::Error> for DaemonError {
    fn from(e: io::Error) -> Self {
        Self::Io(e.kind())
    }
}

/// Runs a daemon until SIGTERM or SIGINT, and returns when its work has ended.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the system refuses a resource.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    let runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    // Dropping the runtime drops its tasks, whose wakers panic outside of it. The process ends
    // behind this call, so that nothing is lost by leaving them.
    let mut runtime = ManuallyDrop::new(runtime);
    runtime.block_on(run_tasks(Rc::new(settings)))
}

async fn run_tasks(settings: Rc<Settings>) -> Result<(), DaemonError> {
    let caller_listener = bind(settings.caller_address)?;
    let peer_listener = bind(settings.peer_address)?;
    let operator_listener = bind(settings.operator_address)?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let metrics = Rc::new(Metrics::default());
    let platform = Rc::new(HttpPlatform::new(
        settings.platform_address,
        &settings.host,
        metrics.clone(),
    ));
    let shutdown = Shutdown::default();
    let mut steps = ShutdownSteps::default();

    let secrets = FleetSecrets::new(&settings.fleet_secrets);
    let directory = PeerDirectory::new(&settings.host, &settings.peer_addresses);
    let peers = PeerClient::new(secrets.clone(), directory.clone(), metrics.clone());
    let mut router = PeerRouter::default();
    let poison = PoisonWatch::new(peers.clone(), &settings.data_centre, clock.clone());
    router.set(
        PeerKind::Poison,
        Rc::new(PoisonHandler::new(poison.clone())),
    );

    let (suspicion_tx, suspicion_rx) = mpsc::unbounded::channel();
    let (balancer_tx, balancer_rx) = mpsc::unbounded::channel();
    let balancer = BalancerHandle::new(balancer_tx);
    let state = Balancer::new(
        Box::new(Sequential::new(settings.profile.options())),
        settings.floor,
        fastrand::u64(..),
    );
    monoio::spawn(balancer_task(
        state,
        balancer_rx,
        balancer.clone(),
        clock.clone(),
        metrics.clone(),
        suspicion_tx.clone(),
    ));
    monoio::spawn(probe_task(balancer.clone()));
    let suspicions = SuspicionTask {
        exchange: exchange_of(&settings, clock.now()),
        peers: peers.clone(),
        balancer: balancer.clone(),
        metrics: metrics.clone(),
        clock: clock.clone(),
        tx: suspicion_tx.clone(),
        under_way: FxHashMap::default(),
    };
    monoio::spawn(suspicions.run(suspicion_rx));
    router.set(
        PeerKind::Suspicion,
        Rc::new(SuspicionHandler { tx: suspicion_tx }),
    );

    let (pool_tx, pool_rx) = mpsc::unbounded::channel();
    monoio::spawn(pool_task(pool_rx, clock.clone()));

    let (sync_tx, sync_rx) = mpsc::unbounded::channel();
    let catalog = CatalogView::default();
    let replica = Rc::new(Replica::new(ReplicaParts {
        host: settings.host.clone(),
        address: settings.peer_address,
        incarnation: Incarnation::random().ok_or(DaemonError::Io(io::ErrorKind::Other))?,
        seed_peers: settings.seed_peers.clone(),
        serve_while_cut_off: settings.serve_withdrawn_keys_while_cut_off,
        table: platform.clone(),
        objects: platform.clone(),
        peers: peers.clone(),
        view: catalog.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
    }));
    let handler = RevisionHandler::new(replica.clone());
    router.set(PeerKind::Revision, Rc::new(handler));
    let handler = ContactHandler::new(replica.clone());
    router.set(PeerKind::Heartbeat, Rc::new(handler));
    monoio::spawn(sync_task(replica, sync_rx));
    let parts = LimitParts {
        table: platform.clone(),
        list: platform.clone(),
        peers,
        catalog: catalog.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
    };
    let limit = LimitService::start(&settings, parts, &mut router)?;
    if let Some(ownership) = limit.ownership {
        steps.add("hand over slices", async move { ownership.release().await });
    }
    let claims = ClaimStore::new(platform.clone());
    monoio::spawn(claim_sweep_task(platform.clone(), directory.clone()));
    monoio::spawn(host_list_task(
        platform,
        balancer.clone(),
        directory,
        limit.tx,
        metrics.clone(),
    ));
    monoio::spawn(peer_server_task(
        Rc::new(PeerServer {
            secrets,
            router,
            metrics: metrics.clone(),
        }),
        peer_listener,
    ));
    if let Some(address) = settings.statsd_address {
        monoio::spawn(export_task(metrics.clone(), address, settings.host.clone()));
    }

    let proxy = Rc::new(ProxyContext::new(ProxyParts {
        limits: settings.limits.clone(),
        catalog,
        hasher: KeyHasher::new(&settings.key_secret),
        limiter: limit.limiter,
        balancer: balancer.clone(),
        pool: PoolHandle::new(pool_tx),
        claims,
        poison,
        metrics,
        clock,
        shutdown: shutdown.clone(),
    }));
    monoio::spawn(operator_task(
        Rc::new(OperatorContext {
            settings: settings.clone(),
            proxy: proxy.clone(),
            balancer,
            sync: sync_tx,
        }),
        operator_listener,
    ));
    monoio::spawn(proxy.pauses.clone().run());
    monoio::spawn(listen_task(proxy.clone(), caller_listener));
    log::info!("serving callers on {}", settings.caller_address);

    wait_for_stop_signal().await?;
    log::info!("shutting down");
    proxy.leaving.begin();
    monoio::time::sleep(settings.limits.notice).await;
    shutdown.begin();
    drain(&proxy, settings.limits.shutdown_timeout).await;
    steps.run(STEP_TIMEOUT).await;
    Ok(())
}

fn exchange_of(settings: &Settings, now: BootTime) -> SuspicionExchange {
    let own = Member {
        host: Rc::from(settings.host.as_str()),
        data_centre: Rc::from(settings.data_centre.as_str()),
    };
    SuspicionExchange::new(own, settings.profile.options().fleet_threshold, now)
}

/// Waits until nothing is in flight, or the limit has passed.
async fn drain(proxy: &ProxyContext, limit: Duration) {
    let end = Instant::now() + limit;
    while proxy.in_flight.count() + proxy.connections.count() > 0 && Instant::now() < end {
        monoio::time::sleep(DRAIN_INTERVAL).await;
    }
    let left = proxy.in_flight.count();
    if left > 0 {
        log::error!("shutdown limit passed with {left} requests in flight");
    }
}

fn bind(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    let opts = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(1024);
    TcpListener::bind_with_config(address, &opts).map_err(|e| DaemonError::Bind {
        address,
        kind: e.kind(),
    })
}
