//! Added latency, throughput and memory use of the request path through one daemon.

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::json;
use standins::{Client, Cluster};

use crate::{figure::Report, fleet, RunOptions};

/// Numbers of concurrent connections.
const CONNECTIONS: [usize; 3] = [1, 8, 64];
/// Upper bound that the users state for the request rate of one daemon.
const MAX_DAEMON_RATE_PER_S: f64 = 1140.0;
/// Rounds of paced load; each runs through the daemon first, then directly to the target.
const ROUNDS: u32 = 6;
/// Size of the streamed response body.
const STREAM_BYTES: u64 = 1 << 30;
/// Idle connections opened between the two readings of the daemon's memory.
const IDLE_CONNECTIONS: usize = 2000;
/// Timeout for a new key to be accepted.
const KEY_TIMEOUT: Duration = Duration::from_secs(10);
/// Index of the daemon whose latency and throughput are measured.
const LATENCY_DAEMON: usize = 0;
/// Index of the daemon whose memory is measured.
const MEMORY_DAEMON: usize = 1;

/// Compares requests through one daemon with direct requests to the target.
pub(crate) fn path(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut cluster_opts = fleet::options()?;
    cluster_opts.daemons = 2;
    cluster_opts.services = vec![("catalogue".into(), 4)];
    cluster_opts.slots = 64;
    cluster_opts.work = Duration::ZERO;
    let cluster = Cluster::start(cluster_opts)?;
    let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
    for i in [LATENCY_DAEMON, MEMORY_DAEMON] {
        wait_until_key_accepted(&cluster, i, &key)?;
    }
    let run_time = Duration::from_secs_f64(opts.seconds as f64 / 12.0);
    for connections in CONNECTIONS {
        measure_latency(&cluster, &key, connections, run_time, opts.seed, report)?;
    }
    measure_stream_memory(&cluster, &key, report)?;
    measure_idle_memory(&cluster, &key, report)
}

fn measure_latency(
    cluster: &Cluster,
    key: &str,
    connections: usize,
    run_time: Duration,
    seed: u64,
    report: &mut Report,
) -> io::Result<()> {
    let daemon = cluster.daemons[LATENCY_DAEMON].caller_address;
    let target = cluster.targets[0].address;
    let fields = json!({"connections": connections});
    let unpaced = run_load(daemon, key, connections, run_time, None, seed)?;
    let rps = unpaced.len() as f64 / run_time.as_secs_f64();
    report.figure("throughput_rps", rps, "1/s", &fields);
    let connections_before = target_connections(cluster);
    let before = read_sched_stats(cluster)?;
    let mut proxied = new_histogram()?;
    let mut direct = new_histogram()?;
    for _ in 0..ROUNDS {
        for (address, histogram) in [(daemon, &mut proxied), (target, &mut direct)] {
            let latencies = run_load(
                address,
                key,
                connections,
                run_time / ROUNDS,
                Some(MAX_DAEMON_RATE_PER_S),
                seed,
            )?;
            histogram.add(latencies).map_err(io::Error::other)?;
        }
    }
    let after = read_sched_stats(cluster)?;
    let requests = proxied.len().max(1) as f64;
    let cpu_us = (after.running_ns - before.running_ns) as f64 / 1000.0 / requests;
    let wait_us = (after.waiting_ns - before.waiting_ns) as f64 / 1000.0 / requests;
    let opened_per_request = (target_connections(cluster) - connections_before) / requests;
    report.figure(
        "opened_per_request",
        opened_per_request,
        "connections",
        &fields,
    );
    report.figure("daemon_cpu_us", cpu_us, "us per request", &fields);
    report.figure("daemon_run_queue_us", wait_us, "us per request", &fields);
    for (name, quantile) in [("added_p50_ms", 0.5), ("added_p99_ms", 0.99)] {
        let proxied_ms = quantile_ms(&proxied, quantile);
        let direct_ms = quantile_ms(&direct, quantile);
        let fields = json!({
            "connections": connections,
            "rate_per_s": MAX_DAEMON_RATE_PER_S,
            "proxied_ms": proxied_ms,
            "straight_ms": direct_ms,
        });
        report.figure(name, proxied_ms - direct_ms, "ms", &fields);
    }
    Ok(())
}

/// Returns how many connections to targets the daemon under load has opened so far.
fn target_connections(cluster: &Cluster) -> f64 {
    let status = cluster.daemons[LATENCY_DAEMON].status(cluster.operator_token());
    status["counters"]["target_connections"]
        .as_f64()
        .unwrap_or(0.0)
}

/// Time that the daemon under load has spent running on a CPU and waiting in a run queue.
struct SchedStats {
    running_ns: u64,
    waiting_ns: u64,
}

fn read_sched_stats(cluster: &Cluster) -> io::Result<SchedStats> {
    let path = format!("/proc/{}/schedstat", cluster.daemons[LATENCY_DAEMON].id());
    let text = fs::read_to_string(path)?;
    let mut fields = text.split_whitespace().map(str::parse::<u64>);
    match (fields.next(), fields.next()) {
        (Some(Ok(running_ns)), Some(Ok(waiting_ns))) => Ok(SchedStats {
            running_ns,
            waiting_ns,
        }),
        _ => Err(io::Error::other("/proc/<pid>/schedstat is malformed")),
    }
}

fn measure_stream_memory(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let mut stream = TcpStream::connect(cluster.daemons[MEMORY_DAEMON].caller_address)?;
    let head = format!(
        "GET /catalogue?stream={STREAM_BYTES} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut buf = vec![0; 256 * 1024];
    let mut received = 0;
    loop {
        match stream.read(&mut buf)? {
            0 => break,
            n => received += n as u64,
        }
    }
    if received <= STREAM_BYTES {
        return Err(io::Error::other(format!(
            "streamed response truncated: got {received} bytes with its head, \
             expected a body of {STREAM_BYTES}"
        )));
    }
    let peak_kb = read_memory_kb(cluster, "VmHWM:")?;
    let fields = json!({"bytes": STREAM_BYTES});
    report.figure("stream_peak_rss_mb", peak_kb as f64 / 1024.0, "MB", &fields);
    Ok(())
}

/// Measures the resident memory per idle connection that has served one request.
fn measure_idle_memory(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let address = cluster.daemons[MEMORY_DAEMON].caller_address;
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let open = |count: usize| -> io::Result<Vec<Client>> {
        let mut clients = Vec::new();
        for _ in 0..count {
            let mut client = Client::connect(address, Duration::from_secs(5))?;
            client.send("GET", "/catalogue/idle", &headers, b"")?;
            clients.push(client);
        }
        Ok(clients)
    };
    let _warm_up = open(IDLE_CONNECTIONS / 10)?;
    let before_kb = read_memory_kb(cluster, "VmRSS:")?;
    let _idle = open(IDLE_CONNECTIONS)?;
    let after_kb = read_memory_kb(cluster, "VmRSS:")?;
    let growth_bytes = after_kb.saturating_sub(before_kb) as f64 * 1024.0;
    let fields = json!({"connections": IDLE_CONNECTIONS});
    let per_connection = growth_bytes / IDLE_CONNECTIONS as f64;
    report.figure("idle_connection_bytes", per_connection, "bytes", &fields);
    Ok(())
}

fn read_memory_kb(cluster: &Cluster, key: &str) -> io::Result<u64> {
    let path = format!("/proc/{}/status", cluster.daemons[MEMORY_DAEMON].id());
    let status = fs::read_to_string(path)?;
    let line = status.lines().find(|l| l.starts_with(key));
    let value = line.and_then(|l| l.split_whitespace().nth(1));
    let value = value.and_then(|v| v.parse().ok());
    value.ok_or_else(|| io::Error::other(format!("no `{key}` line in /proc/<pid>/status")))
}

fn wait_until_key_accepted(cluster: &Cluster, i: usize, key: &str) -> io::Result<()> {
    let deadline = Instant::now() + KEY_TIMEOUT;
    while cluster.request(i, key, "GET", "/catalogue")?.status != 200 {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!(
                "daemon {i} did not accept the key within {KEY_TIMEOUT:?}"
            )));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Sends requests on `connections` connections, at a total of `rate` per second or, without it,
/// as fast as possible, and returns the latencies in microseconds. Paced latencies count from the
/// scheduled send time.
fn run_load(
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
        let interval = rate.map(|r| Duration::from_secs_f64(connections as f64 / r));
        let start_offset = interval.map_or(Duration::ZERO, |d| d * i as u32 / connections as u32);
        threads.push(thread::spawn(move || {
            run_connection(address, &key, time, interval, start_offset, seed)
        }));
    }
    let mut all = new_histogram()?;
    for t in threads {
        let latencies = t
            .join()
            .map_err(|_| io::Error::other("a load thread panicked"))??;
        all.add(latencies).map_err(io::Error::other)?;
    }
    Ok(all)
}

fn run_connection(
    address: SocketAddr,
    key: &str,
    time: Duration,
    interval: Option<Duration>,
    start_offset: Duration,
    seed: u64,
) -> io::Result<Histogram<u64>> {
    let mut client = Client::connect(address, Duration::from_secs(5))?;
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut histogram = new_histogram()?;
    let mut random = fastrand::Rng::with_seed(seed);
    let begin = Instant::now();
    let mut due = begin + start_offset;
    while begin.elapsed() < time {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let start = if interval.is_some() {
            due
        } else {
            Instant::now()
        };
        let path = format!("/catalogue/item-{}", random.u16(..));
        let reply = client.send("GET", &path, &headers, b"")?;
        if reply.status != 200 {
            return Err(io::Error::other(reply.text()));
        }
        let _ = histogram.record(start.elapsed().as_micros() as u64);
        due += interval.unwrap_or_default();
    }
    Ok(histogram)
}

fn new_histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}
