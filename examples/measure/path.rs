//! Added latency, throughput and memory of the path through one daemon.

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

const CONNECTIONS: [usize; 3] = [1, 8, 64];
/// Requests per second of the users' bound for one daemon.
const BOUND_RATE: f64 = 1140.0;
/// Turns of paced load, proxied and straight in alternation.
const TURNS: u32 = 6;
/// Bytes of the streamed answer.
const STREAM_BYTES: u64 = 1 << 30;
/// Idle connections between the two looks at the daemon's memory.
const IDLE_CONNECTIONS: usize = 2000;
/// Daemon under load.
const LOADED: usize = 0;
/// Daemon whose memory is measured.
const WEIGHED: usize = 1;

/// Measures the path through one daemon against straight requests to the target.
pub(crate) fn path(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let mut shape = fleet::options()?;
    shape.daemons = 2;
    shape.services = vec![("catalogue".into(), 4)];
    shape.slots = 64;
    shape.work = Duration::ZERO;
    let cluster = Cluster::start(shape)?;
    let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
    for i in [LOADED, WEIGHED] {
        wait_for_key(&cluster, i, &key)?;
    }
    let per_run = Duration::from_secs_f64(opts.seconds as f64 / 12.0);
    for connections in CONNECTIONS {
        measure_latency(&cluster, &key, connections, per_run, opts.seed, report)?;
    }
    measure_stream(&cluster, &key, report)?;
    measure_idle(&cluster, &key, report)
}

fn measure_latency(
    cluster: &Cluster,
    key: &str,
    connections: usize,
    per_run: Duration,
    seed: u64,
    report: &mut Report,
) -> io::Result<()> {
    let daemon = cluster.daemons[LOADED].caller_address;
    let target = cluster.targets[0].address;
    let field = json!({"connections": connections});
    let full = load(daemon, key, connections, per_run, None, seed)?;
    let rps = full.len() as f64 / per_run.as_secs_f64();
    report.figure("throughput_rps", rps, "1/s", &field);
    let opened_before = opened_connections(cluster);
    let before = schedule(cluster)?;
    let mut paced = new_histogram()?;
    let mut straight = new_histogram()?;
    for _ in 0..TURNS {
        for (address, histogram) in [(daemon, &mut paced), (target, &mut straight)] {
            let turn = load(
                address,
                key,
                connections,
                per_run / TURNS,
                Some(BOUND_RATE),
                seed,
            )?;
            histogram.add(turn).map_err(io::Error::other)?;
        }
    }
    let after = schedule(cluster)?;
    let requests = paced.len().max(1) as f64;
    let cpu_us = (after.running_ns - before.running_ns) as f64 / 1000.0 / requests;
    let wait_us = (after.waiting_ns - before.waiting_ns) as f64 / 1000.0 / requests;
    let opened = (opened_connections(cluster) - opened_before) / requests;
    report.figure("opened_per_request", opened, "connections", &field);
    report.figure("daemon_cpu_us", cpu_us, "us per request", &field);
    report.figure("daemon_run_queue_us", wait_us, "us per request", &field);
    for (name, quantile) in [("added_p50_ms", 0.5), ("added_p99_ms", 0.99)] {
        let through = quantile_ms(&paced, quantile);
        let direct = quantile_ms(&straight, quantile);
        let field = json!({
            "connections": connections,
            "rate_per_s": BOUND_RATE,
            "proxied_ms": through,
            "straight_ms": direct,
        });
        report.figure(name, through - direct, "ms", &field);
    }
    Ok(())
}

/// Returns how many connections to targets the loaded daemon opened so far.
fn opened_connections(cluster: &Cluster) -> f64 {
    let status = cluster.daemons[LOADED].status(cluster.operator_token());
    status["counters"]["target_connections"]
        .as_f64()
        .unwrap_or(0.0)
}

/// Time that the scheduler gave to the loaded daemon, and kept it waiting while it could run.
struct Schedule {
    running_ns: u64,
    waiting_ns: u64,
}

fn schedule(cluster: &Cluster) -> io::Result<Schedule> {
    let path = format!("/proc/{}/schedstat", cluster.daemons[LOADED].id());
    let text = fs::read_to_string(path)?;
    let mut fields = text.split_whitespace().map(str::parse::<u64>);
    match (fields.next(), fields.next()) {
        (Some(Ok(running_ns)), Some(Ok(waiting_ns))) => Ok(Schedule {
            running_ns,
            waiting_ns,
        }),
        _ => Err(io::Error::other("no schedule of the process")),
    }
}

fn measure_stream(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let mut stream = TcpStream::connect(cluster.daemons[WEIGHED].caller_address)?;
    let head = format!(
        "GET /catalogue?stream={STREAM_BYTES} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let mut part = vec![0; 256 * 1024];
    let mut read = 0;
    loop {
        match stream.read(&mut part)? {
            0 => break,
            n => read += n as u64,
        }
    }
    if read <= STREAM_BYTES {
        return Err(io::Error::other("the streamed answer was cut off"));
    }
    let peak_kb = memory_kb(cluster, "VmHWM:")?;
    let field = json!({"bytes": STREAM_BYTES});
    report.figure("stream_peak_rss_mb", peak_kb as f64 / 1024.0, "MB", &field);
    Ok(())
}

/// Measures the resident memory of connections that carried a request and are idle.
fn measure_idle(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let address = cluster.daemons[WEIGHED].caller_address;
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
    let _first = open(IDLE_CONNECTIONS / 10)?;
    let before_kb = memory_kb(cluster, "VmRSS:")?;
    let _more = open(IDLE_CONNECTIONS)?;
    let after_kb = memory_kb(cluster, "VmRSS:")?;
    let gained = after_kb.saturating_sub(before_kb) as f64 * 1024.0;
    let field = json!({"connections": IDLE_CONNECTIONS});
    let each = gained / IDLE_CONNECTIONS as f64;
    report.figure("idle_connection_bytes", each, "bytes", &field);
    Ok(())
}

fn memory_kb(cluster: &Cluster, name: &str) -> io::Result<u64> {
    let path = format!("/proc/{}/status", cluster.daemons[WEIGHED].id());
    let status = fs::read_to_string(path)?;
    let line = status.lines().find(|l| l.starts_with(name));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    let number = number.and_then(|n| n.parse().ok());
    number.ok_or_else(|| io::Error::other("no memory in the process status"))
}

fn wait_for_key(cluster: &Cluster, i: usize, key: &str) -> io::Result<()> {
    let end = Instant::now() + Duration::from_secs(10);
    while cluster.request(i, key, "GET", "/catalogue")?.status != 200 {
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
