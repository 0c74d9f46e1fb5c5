//! A daemon with chervillug's own interface, from start to shutdown.

use std::{io, rc::Rc, time::Duration};

use local_sync::mpsc;

use crate::{
    catalog::KeyHasher,
    claim::{claim_sweep_task, ClaimStore},
    clock::{Clock, SystemClock},
    config::Settings,
    health::TokenBorrower,
    hosts::host_list_task,
    lifecycle::{ShutdownSignal, ShutdownSteps, Signals},
    limit::{LimitParts, LimitService},
    membership::Incarnation,
    metrics::{statsd_export_task, Metrics},
    native::{CatalogPolicy, HttpPlatform, NativeHeadFormat},
    operator::{operator_server_task, OperatorContext},
    peer::{
        peer_server_task, FleetSecrets, MessageKind, PeerClient, PeerDirectory, PeerRouter,
        PeerServer,
    },
    poison::{PoisonHandler, PoisonTracker},
    pool::{pool_task, PoolHandle},
    proxy::{listen_task, HeadFormat, ProxyContext, ProxyParts},
    retry::RetryBudgetConfig,
    sync::{sync_task, CatalogView, HeartbeatHandler, Replica, ReplicaParts, RevisionHandler},
};

use super::{
    health_parts::{start_health, HealthParts},
    runtime::{bind, drain, run_on_thread},
    DaemonError,
};

/// Timeout for each shutdown step after the last request.
const SHUTDOWN_STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a daemon until SIGTERM or SIGINT, and returns after a graceful shutdown.
///
/// # Errors
///
/// Returns an error if an address cannot be bound or a system resource is not available.
pub fn run_native(settings: Settings) -> Result<(), DaemonError> {
    run_on_thread(run_tasks(Rc::new(settings)))
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
    let heads: Rc<dyn HeadFormat> = Rc::new(NativeHeadFormat);
    let shutdown = ShutdownSignal::default();
    let mut steps = ShutdownSteps::default();

    let secrets = FleetSecrets::new(&settings.fleet_secrets);
    let directory = PeerDirectory::new(&settings.host, &settings.peer_addresses);
    let peers = PeerClient::new(secrets.clone(), directory.clone(), metrics.clone());
    let mut router = PeerRouter::default();
    let poison = PoisonTracker::new(peers.clone(), &settings.data_centre, clock.clone());
    router.register(
        MessageKind::Poison,
        Rc::new(PoisonHandler::new(poison.clone())),
    );

    let balancer = start_health(
        HealthParts {
            host: &settings.host,
            data_centre: &settings.data_centre,
            profile: settings.profile,
            floor: settings.floor,
            prefers_local: false,
            failure_notifier: None,
            peers: peers.clone(),
            heads: heads.clone(),
            clock: clock.clone(),
            metrics: metrics.clone(),
        },
        &mut router,
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
        serve_without_quorum: settings.serve_withdrawn_keys_while_cut_off,
        table: platform.clone(),
        objects: platform.clone(),
        peers: peers.clone(),
        view: catalog.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
    }));
    let handler = RevisionHandler::new(replica.clone());
    router.register(MessageKind::Revision, Rc::new(handler));
    let handler = HeartbeatHandler::new(replica.clone());
    router.register(MessageKind::Heartbeat, Rc::new(handler));
    monoio::spawn(sync_task(replica, sync_rx));
    let parts = LimitParts {
        table: platform.clone(),
        list: platform.clone(),
        peers: peers.clone(),
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
        monoio::spawn(statsd_export_task(
            metrics.clone(),
            address,
            settings.host.clone(),
        ));
    }

    let hasher = KeyHasher::new(&settings.key_secret);
    let proxy = Rc::new(ProxyContext::new(ProxyParts {
        limits: settings.limits.clone(),
        policy: Rc::new(CatalogPolicy::new(catalog.clone(), hasher.clone())),
        heads,
        limiter: limit.limiter,
        balancer: TokenBorrower {
            balancer: balancer.clone(),
            peers,
            metrics: metrics.clone(),
        },
        pool: PoolHandle::new(pool_tx),
        retry_on_silence: true,
        retry_error_answers: false,
        claims: Some(claims),
        admission: None,
        poison,
        failure_notifier: None,
        hedging: None,
        retry_budget: Box::new(RetryBudgetConfig::default),
        metrics,
        clock,
        draining: ShutdownSignal::default(),
        shutdown: shutdown.clone(),
    }));
    monoio::spawn(operator_server_task(
        Rc::new(OperatorContext {
            settings: settings.clone(),
            proxy: proxy.clone(),
            catalog,
            hasher,
            balancer,
            sync: sync_tx,
        }),
        operator_listener,
    ));
    monoio::spawn(proxy.pauses.clone().run());
    monoio::spawn(listen_task(proxy.clone(), caller_listener));
    log::info!("serving callers on {}", settings.caller_address);

    Signals::termination()?.next().await?;
    log::info!("shutting down");
    let notice = settings.limits.drain_notice;
    drain(&proxy, notice, notice + settings.limits.shutdown_timeout).await;
    steps.run(SHUTDOWN_STEP_TIMEOUT).await;
    Ok(())
}
