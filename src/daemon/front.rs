//! An entry daemon on the users' platform: its tasks, from start to shutdown.

use std::{
    io,
    path::{Path, PathBuf},
    rc::Rc,
    time::Duration,
};

use local_sync::mpsc;

use crate::{
    catalog::KeyHasher,
    clock::{Clock, SystemClock},
    config::{self, FrontSettings, KEY_MARGIN},
    follow::{
        follow_table, join_fleet, ConfigurationSink, FollowOptions, JoinParts, MemberRow,
        MemberSink, PeerProofs, ProofHandler, StoreContact, TargetSink, MEMBERS_TABLE,
    },
    health::{FailureHandler, FailureTeller},
    lifecycle::{ready_task, ReadyServer, Shutdown, Signals},
    membership::Incarnation,
    metrics::Metrics,
    peer::{
        peer_server_task, FleetBroadcast, FleetSecrets, PeerClient, PeerDirectory, PeerKind,
        PeerRouter, PeerServer,
    },
    platform::{self, PlatformHeads, RowClient},
    poison::{PoisonHandler, PoisonWatch},
    pool::{pool_task, PoolHandle},
    proxy::{listen_task, AccessPolicy, HeadFormat, ProxyContext, ProxyParts},
    quota::{
        LeaseParts, LeaseTask, LocalSlice, QuotaLimiter, QuotaParts, SliceOwners, SliceShare,
        TokenHandler,
    },
    retry::RetryTerms,
    routing::{ConfigurationView, RoutingPolicy},
    store::RowStore,
};

use super::{
    health_parts::{start_health, HealthParts},
    runtime::{bind, drain, run_on_thread},
    DaemonError,
};

/// Longest wait of one call that follows the configuration; its answer proves for the readers'
/// data centres that keys are fresh, and must be younger than what others take for a proof.
const CONFIGURATION_WAIT: Duration = Duration::from_millis(800);
/// Longest wait of one call that follows targets or members; the store allows 30 s.
const QUIET_WAIT: Duration = Duration::from_secs(25);
/// Pause behind a change of targets in which further ones gather, well below the time within
/// which a leaving target must get no more work.
const TARGET_GATHER: Duration = Duration::from_millis(700);
/// Pause behind a change of members in which further ones gather.
const MEMBER_GATHER: Duration = Duration::from_millis(1500);
/// Longest time to tell the fleet of targets that break off work.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(500);
/// How much retries of one daemon may add: the shares of all daemons stay below the operator's
/// share of 0.2, and what they save up together below its slack of more than one per daemon.
const RETRY_TERMS: RetryTerms = RetryTerms {
    share: 0.15,
    max_saved: 1.0,
    floor_per_s: 0.0,
};
/// Pause behind a failure to read signals.
const RELOAD_RETRY: Duration = Duration::from_secs(1);
/// Part of the time for a shutdown in which requests may end.
const DRAIN_SHARE: f64 = 0.9;

/// Runs an entry daemon until SIGTERM or SIGINT, and returns when its work has ended.
///
/// # Errors
///
/// Returns an error when an address cannot be bound or the system refuses a resource.
pub fn run_front(settings: FrontSettings, file: PathBuf) -> Result<(), DaemonError> {
    run_on_thread(run_tasks(Rc::new(settings), file))
}

/// Reads the settings file again at each reload signal, and tells what it finds; a file with a
/// fault changes nothing.
async fn reload_task(mut signals: Signals, file: PathBuf) {
    while let Err(e) = next_reload(&mut signals, &file).await {
        log::error!("reload signal: {e}");
        monoio::time::sleep(RELOAD_RETRY).await;
    }
}

async fn next_reload(signals: &mut Signals, file: &Path) -> io::Result<()> {
    loop {
        signals.next().await?;
        match config::load_front(file) {
            Ok(_) => log::info!("settings read again, in force from the next start"),
            Err(e) => log::error!("settings unchanged: {e}"),
        }
    }
}

async fn run_tasks(settings: Rc<FrontSettings>, file: PathBuf) -> Result<(), DaemonError> {
    monoio::spawn(reload_task(Signals::reload()?, file));
    let caller_listener = bind(settings.caller_address)?;
    let peer_listener = bind(settings.peer_address)?;
    let ready_listener = bind(settings.ready_address)?;
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    let metrics = Rc::new(Metrics::default());
    let store: Rc<dyn RowStore> = Rc::new(RowClient::new(settings.store_address, metrics.clone()));
    let heads: Rc<dyn HeadFormat> = Rc::new(PlatformHeads);
    let incarnation = Incarnation::random().ok_or(DaemonError::Io(io::ErrorKind::Other))?;
    let shutdown = Shutdown::default();
    let leaving = Shutdown::default();

    let key_secret = format!("{:032x}", fastrand::u128(..));
    let max_age = settings.key_withdrawal - KEY_MARGIN;
    let view = ConfigurationView::new(KeyHasher::new(&key_secret), max_age);
    let policy: Rc<dyn AccessPolicy> = Rc::new(RoutingPolicy::new(view.clone(), heads.clone()));
    monoio::spawn(ready_task(
        Rc::new(ReadyServer {
            policy: policy.clone(),
            leaving: leaving.clone(),
            metrics: metrics.clone(),
            clock: clock.clone(),
        }),
        ready_listener,
    ));
    let contact = StoreContact::default();
    let sink = Rc::new(ConfigurationSink::new(
        view.clone(),
        platform::CONFIGURATION_KEY,
        platform::decode_configuration,
    ));

    let row = MemberRow {
        data_centre: settings.data_centre.clone(),
        address: settings.peer_address,
        leaving: false,
    };
    let secret = join_fleet(&JoinParts {
        store: &*store,
        host: &settings.host,
        row: &row,
    })
    .await;
    let secrets = FleetSecrets::new(&[secret]);
    let directory = PeerDirectory::new(&settings.host, &Default::default());
    let peers = PeerClient::new(secrets.clone(), directory.clone(), metrics.clone());
    let mut router = PeerRouter::default();
    let handler = ProofHandler {
        view: view.clone(),
        sink: sink.clone(),
        contact: contact.clone(),
        clock: clock.clone(),
    };
    router.set(PeerKind::Proof, Rc::new(handler));
    let proofs = PeerProofs::new(
        peers.clone(),
        &settings.data_centre,
        view.clone(),
        sink.clone(),
        contact.clone(),
        clock.clone(),
    );
    monoio::spawn(follow_table(
        store.clone(),
        FollowOptions {
            table: platform::CONFIGURATION_TABLE,
            wait: CONFIGURATION_WAIT,
            gather: Duration::ZERO,
            leads: true,
        },
        sink,
        clock.clone(),
        contact.clone(),
        Some(proofs),
    ));
    let poison = PoisonWatch::new(peers.clone(), &settings.data_centre, clock.clone());
    let handler = PoisonHandler::new(poison.clone());
    router.set(PeerKind::Poison, Rc::new(handler));
    let broadcast = FleetBroadcast::new(peers.clone(), &settings.data_centre, NOTICE_TIMEOUT);
    let failures = FailureTeller::new(broadcast.clone());
    let balancer = start_health(
        HealthParts {
            host: &settings.host,
            data_centre: &settings.data_centre,
            profile: settings.profile,
            floor: settings.floor,
            prefers_near: true,
            failures: Some(failures.clone()),
            peers: peers.clone(),
            heads: heads.clone(),
            clock: clock.clone(),
            metrics: metrics.clone(),
        },
        &mut router,
    );
    let handler = FailureHandler {
        balancer: balancer.clone(),
        broadcast,
    };
    router.set(PeerKind::Failure, Rc::new(handler));
    let sink = TargetSink::new(
        balancer.clone(),
        platform::decode_target,
        contact.clone(),
        view.clone(),
        clock.clone(),
    );
    monoio::spawn(follow_table(
        store.clone(),
        FollowOptions {
            table: platform::TARGETS_TABLE,
            wait: QUIET_WAIT,
            gather: TARGET_GATHER,
            leads: false,
        },
        Rc::new(sink),
        clock.clone(),
        contact.clone(),
        None,
    ));

    let owners = SliceOwners::default();
    let slice = LocalSlice::new(SliceShare {
        slices: settings.data_centres.len() as u32,
        slack: settings.quota_slack,
    });
    let sink = MemberSink::new(directory.clone(), owners.clone());
    monoio::spawn(follow_table(
        store.clone(),
        FollowOptions {
            table: MEMBERS_TABLE,
            wait: QUIET_WAIT,
            gather: MEMBER_GATHER,
            leads: false,
        },
        Rc::new(sink),
        clock.clone(),
        contact.clone(),
        None,
    ));
    let lease = LeaseTask::new(LeaseParts {
        store,
        slice: slice.clone(),
        owners: owners.clone(),
        directory,
        data_centre: settings.data_centre.clone(),
        incarnation,
        clock: clock.clone(),
    });
    monoio::spawn(lease.run());
    let handler = TokenHandler {
        slice: slice.clone(),
        view: view.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
    };
    router.set(PeerKind::Ask, Rc::new(handler));
    monoio::spawn(peer_server_task(
        Rc::new(PeerServer {
            secrets,
            router,
            metrics: metrics.clone(),
        }),
        peer_listener,
    ));

    let limiter = QuotaLimiter::new(QuotaParts {
        slice,
        owners,
        peers,
        data_centre: settings.data_centre.clone(),
        clock: clock.clone(),
        metrics: metrics.clone(),
    });
    let (pool_tx, pool_rx) = mpsc::unbounded::channel();
    monoio::spawn(pool_task(pool_rx, clock.clone()));
    let proxy = Rc::new(ProxyContext::new(ProxyParts {
        limits: settings.limits.clone(),
        policy,
        heads,
        limiter: Box::new(limiter),
        balancer,
        pool: PoolHandle::new(pool_tx),
        // A target that is breaking off work it has begun costs more than a slow answer.
        leaves_silent: false,
        claims: None,
        poison,
        retry_terms: RETRY_TERMS,
        failures: Some(failures),
        metrics,
        clock,
        leaving,
        shutdown: shutdown.clone(),
    }));
    monoio::spawn(proxy.pauses.clone().run());
    monoio::spawn(listen_task(proxy.clone(), caller_listener));
    log::info!("serving callers on {}", settings.caller_address);

    Signals::stop()?.next().await?;
    log::info!("shutting down");
    proxy.leaving.begin();
    monoio::time::sleep(settings.limits.notice).await;
    shutdown.begin();
    let left = settings.shutdown.mul_f64(DRAIN_SHARE);
    drain(&proxy, left.saturating_sub(settings.limits.notice)).await;
    log::info!("stopped");
    Ok(())
}
