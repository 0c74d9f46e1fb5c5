//! Latency of calls between daemons.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    rc::Rc,
    thread,
    time::{Duration, Instant},
};

use chervillug::{
    peer::{
        peer_server_task, FleetSecrets, MessageKind, PeerClient, PeerDirectory, PeerHandler,
        PeerRouter, PeerServer,
    },
    store::BoxFuture,
};
use hdrhistogram::Histogram;
use monoio::{net::TcpListener, LegacyDriver, RuntimeBuilder};
use serde_json::json;
use standins::free_address;

use crate::{figure::Report, RunOptions};

/// Calls per second of one daemon that asks once for each request of the users' bound.
const BOUND_RATE: f64 = 1140.0;
/// Calls that are under way together in the run without pauses.
const PARALLEL: usize = 64;
/// Longest time for one call.
const CALL_LIMIT: Duration = Duration::from_secs(2);

struct Echo;

impl PeerHandler for Echo {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move { Some(body.to_vec()) })
    }
}

/// Measures calls from one thread to another, paced and as fast as they go.
pub(crate) fn peer(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let address = free_address()?;
    thread::spawn(move || serve(address));
    thread::sleep(Duration::from_millis(200));
    let time = Duration::from_secs_f64(opts.seconds as f64 / 4.0);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let directory = PeerDirectory::new("entry-0", &BTreeMap::new());
        let client = PeerClient::new(secrets(), directory, Rc::default());
        let paced = paced(&client, address, time).await?;
        let field = json!({"rate_per_s": BOUND_RATE});
        for (name, quantile) in [("call_p50_ms", 0.5), ("call_p99_ms", 0.99)] {
            let ms = paced.value_at_quantile(quantile) as f64 / 1000.0;
            report.figure(name, ms, "ms", &field);
        }
        let calls = full_speed(&client, address, time).await;
        let rate = calls as f64 / time.as_secs_f64();
        report.figure("calls_per_s", rate, "1/s", &json!({"parallel": PARALLEL}));
        Ok(())
    })
}

fn secrets() -> FleetSecrets {
    FleetSecrets::new(&["fleet-secret-for-measurement".to_owned()])
}

fn serve(address: SocketAddr) -> io::Result<()> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(address)?;
        let mut router = PeerRouter::default();
        router.register(MessageKind::Ask, Rc::new(Echo));
        let server = PeerServer {
            secrets: secrets(),
            router,
            metrics: Rc::default(),
        };
        peer_server_task(Rc::new(server), listener).await;
        Ok(())
    })
}

async fn call(client: &PeerClient, address: SocketAddr) -> bool {
    let ask = ("workspace", 1_u32);
    let answer: Result<(String, u32), _> = client
        .call_address(address, MessageKind::Ask, &ask, CALL_LIMIT)
        .await;
    answer.is_ok()
}

async fn paced(
    client: &PeerClient,
    address: SocketAddr,
    time: Duration,
) -> io::Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3).map_err(io::Error::other)?;
    let gap = Duration::from_secs_f64(1.0 / BOUND_RATE);
    let begin = Instant::now();
    let mut due = begin;
    let mut calls = Vec::new();
    while begin.elapsed() < time {
        monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        let client = client.clone();
        calls.push(monoio::spawn(async move {
            let start = Instant::now();
            call(&client, address).await.then(|| start.elapsed())
        }));
        due += gap;
    }
    for task in calls {
        let Some(took) = task.await else {
            return Err(io::Error::other("a call brought no answer"));
        };
        let _ = histogram.record(took.as_micros() as u64);
    }
    Ok(histogram)
}

async fn full_speed(client: &PeerClient, address: SocketAddr, time: Duration) -> usize {
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..PARALLEL {
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            let mut calls = 0;
            while begin.elapsed() < time {
                calls += usize::from(call(&client, address).await);
            }
            calls
        }));
    }
    let mut all = 0;
    for task in tasks {
        all += task.await;
    }
    all
}
