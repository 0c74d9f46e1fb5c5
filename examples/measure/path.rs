//! Added latency and throughput of the path through one daemon.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::json;
use standins::{Client, Cluster};

use crate::{figure::Report, fleet, RunOptions};

const CONNECTIONS: [usize; 3] = [1, 8, 64];
/// Requests per second of the users' bound for one daemon.
const BOUND_RATE: f64 = 1140.0;

/// Measures the path through one daemon against straight requests to the target.
pub(crate) fn path(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut shape = fleet::options()?;
    shape.services = vec![("catalogue".into(), 4)];
    shape.slots = 64;
    shape.work = Duration::ZERO;
    let cluster = Cluster::start(shape)?;
    let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
    wait_for_key(&cluster, &key)?;
    let per_run = Duration::from_secs_f64(opts.seconds as f64 / 12.0);
    for connections in CONNECTIONS {
        let field = json!({"connections": connections});
        let daemon = cluster.daemons[0].caller_address;
        let full = load(daemon, &key, connections, per_run, None, opts.seed)?;
        let rps = full.len() as f64 / per_run.as_secs_f64();
        report.figure("throughput_rps", rps, "1/s", &field);
        let paced = load(
            daemon,
            &key,
            connections,
            per_run,
            Some(BOUND_RATE),
            opts.seed,
        )?;
        let target = cluster.targets[0].address;
        let straight = load(
            target,
            &key,
            connections,
            per_run,
            Some(BOUND_RATE),
            opts.seed,
        )?;
        for (name, quantile) in [("added_p50_ms", 0.5), ("added_p99_ms", 0.99)] {
            let added = quantile_ms(&paced, quantile) - quantile_ms(&straight, quantile);
            report.figure(name, added, "ms", &field);
        }
    }
    Ok(())
}

fn wait_for_key(cluster: &Cluster, key: &str) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(10);
    while cluster.request(0, key, "GET", "/catalogue")?.status != 200 {
        if Instant::now() > end {
            return Err(io::Error::other("the key is not served"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Sends requests on `connections`, as fast as possible or at `rate` a second in all, and
/// returns the latencies in microseconds, each from when its request was due.
fn load(
    address: SocketAddr,
    key: &str,
    connections: usize,
    time: Duration,
    rate: Option<f64>,
    seed: u64,
) -> io::Result<Histogram<u64>> {
    let mut threads = Vec::new();
    for i in 0..connections {
        let key = key.to_owned();
        let gap = rate.map(|r| Duration::from_secs_f64(connections as f64 / r));
        let offset = gap.map_or(Duration::ZERO, |g| g * i as u32 / connections as u32);
        threads.push(thread::spawn(move || {
            drive(address, &key, time, gap, offset, seed)
        }));
    }
    let mut all = new_histogram()?;
    for t in threads {
        let one = t.join().map_err(|_| io::Error::other("load thread"))??;
        all.add(one).map_err(io::Error::other)?;
    }
    Ok(all)
}

fn drive(
    address: SocketAddr,
    key: &str,
    time: Duration,
    gap: Option<Duration>,
    offset: Duration,
    seed: u64,
) -> io::Result<Histogram<u64>> {
    let mut client = Client::connect(address, Duration::from_secs(5))?;
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut histogram = new_histogram()?;
    let mut random = fastrand::Rng::with_seed(seed);
    let begin = Instant::now();
    let mut due = begin + offset;
    while begin.elapsed() < time {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let start = if gap.is_some() { due } else { Instant::now() };
        let path = format!("/catalogue/item-{}", random.u16(..));
        let reply = client.send("GET", &path, &headers, b"")?;
        if reply.status != 200 {
            return Err(io::Error::other(reply.text()));
        }
        let _ = histogram.record(start.elapsed().as_micros() as u64);
        due += gap.unwrap_or_default();
    }
    Ok(histogram)
}

fn new_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}
