//! Latency and throughput of calls between daemons.

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

/// Call rate of a daemon that makes one call per request at the users' upper bound.
const PACED_RATE_PER_S: f64 = 1140.0;
/// Concurrent calls in the unpaced run.
const CONCURRENT_CALLS: usize = 64;
/// Timeout of each call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move { Some(body.to_vec()) })
    }
}

/// Measures calls from one thread to another, first paced, then as fast as possible.
pub(crate) fn peer(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let address = free_address()?;
    thread::spawn(move || run_server(address));
    thread::sleep(Duration::from_millis(200));
    let time = Duration::from_secs_f64(opts.seconds as f64 / 4.0);
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let directory = PeerDirectory::new("entry-0", &BTreeMap::new());
        let client = PeerClient::new(fleet_secrets(), directory, Rc::default());
        let latencies = paced_latencies(&client, address, time).await?;
        let fields = json!({"rate_per_s": PACED_RATE_PER_S});
        for (name, quantile) in [("call_p50_ms", 0.5), ("call_p99_ms", 0.99)] {
            let ms = latencies.value_at_quantile(quantile) as f64 / 1000.0;
            report.figure(name, ms, "ms", &fields);
        }
        let calls = count_unpaced_calls(&client, address, time).await;
        let rate = calls as f64 / time.as_secs_f64();
        report.figure(
            "calls_per_s",
            rate,
            "1/s",
            &json!({"parallel": CONCURRENT_CALLS}),
        );
        Ok(())
    })
}

fn fleet_secrets() -> FleetSecrets {
    FleetSecrets::new(&["fleet-secret-for-measurement".to_owned()])
}

fn run_server(address: SocketAddr) -> io::Result<()> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()?;
    runtime.block_on(async {
        let listener = TcpListener::bind(address)?;
        let mut router = PeerRouter::default();
        router.register(MessageKind::Ask, Rc::new(EchoHandler));
        let server = PeerServer {
            secrets: fleet_secrets(),
            router,
            metrics: Rc::default(),
        };
        peer_server_task(Rc::new(server), listener).await;
        Ok(())
    })
}

async fn call(client: &PeerClient, address: SocketAddr) -> bool {
    let req = ("workspace", 1_u32);
    let res: Result<(String, u32), _> = client
        .call_address(address, MessageKind::Ask, &req, CALL_TIMEOUT)
        .await;
    res.is_ok()
}

async fn paced_latencies(
    client: &PeerClient,
    address: SocketAddr,
    time: Duration,
) -> io::Result<Histogram<u64>> {
    let mut histogram = Histogram::new(3).map_err(io::Error::other)?;
    let interval = Duration::from_secs_f64(1.0 / PACED_RATE_PER_S);
    let begin = Instant::now();
    let mut due = begin;
    let mut tasks = Vec::new();
    while begin.elapsed() < time {
        monoio::time::sleep(due.saturating_duration_since(Instant::now())).await;
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            let start = Instant::now();
            call(&client, address).await.then(|| start.elapsed())
        }));
        due += interval;
    }
    for task in tasks {
        let Some(latency) = task.await else {
            return Err(io::Error::other("a paced call failed or timed out"));
        };
        let _ = histogram.record(latency.as_micros() as u64);
    }
    Ok(histogram)
}

async fn count_unpaced_calls(client: &PeerClient, address: SocketAddr, time: Duration) -> usize {
    let begin = Instant::now();
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENT_CALLS {
        let client = client.clone();
        tasks.push(monoio::spawn(async move {
            let mut calls = 0;
            while begin.elapsed() < time {
                calls += usize::from(call(&client, address).await);
            }
            calls
        }));
    }
    let mut total = 0;
    for task in tasks {
        total += task.await;
    }
    total
}
