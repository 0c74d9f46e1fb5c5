//! Measures reported outcomes, retries, claims and crash requests.

#[path = "../../tests/reconcile/mod.rs"]
mod reconcile;

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use serde_json::{json, Value};
use standins::{Client, Cluster, Target};

use crate::{figure::Report, fleet, RunOptions};
use reconcile::{disturb, mismatches, CallerRecord, Driver};

/// Maximum number of requests in the case `outcomes`.
const REQUESTS: u32 = 100_000;
/// Number of threads that send requests.
const THREADS: u32 = 32;
/// Number of requests per run of a driver.
const RUN_REQUESTS: u32 = 30;
/// Number of claimed requests whose latency is measured.
const CLAIMS: u32 = 500;
/// Number of requests in each measurement of attempts per request, also while all targets are
/// down.
const ATTEMPT_REQUESTS: u32 = 1000;
/// Timeout of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

fn start(daemons: usize, targets: usize) -> io::Result<(Cluster, String)> {
    let mut opts = fleet::options()?;
    opts.daemons = daemons;
    opts.services = vec![("catalogue".into(), targets)];
    opts.settings = json!({"limiter": "static_split", "limits": {"deadline_ms": 1000}});
    let cluster = Cluster::start(opts)?;
    let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
    for i in 0..daemons {
        let end = Instant::now() + Duration::from_secs(10);
        while cluster.request(i, &key, "GET", "/catalogue")?.status != 200 {
            if Instant::now() > end {
                return Err(io::Error::other(
                    "the workspace key is not accepted in time",
                ));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }
    Ok((cluster, key))
}

/// Compares the reported outcomes with the targets' logs under faults, and measures attempts and
/// claims without faults.
pub(crate) fn outcomes(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let (cluster, key) = start(3, 5)?;
    claim_latency(&cluster, &key, report)?;
    drop(cluster);
    let (cluster, key) = start(1, 5)?;
    attempts(&cluster, &key, report, "none")?;
    cluster.targets.iter().for_each(Target::kill);
    attempts(&cluster, &key, report, "service_down")?;
    drop(cluster);
    reconcile_outcomes(opts, report)
}

fn reconcile_outcomes(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let (mut cluster, key) = start(3, 5)?;
    let addresses: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.caller_address).collect();
    let end = Instant::now() + Duration::from_secs(opts.seconds * 3 / 5);
    let done = AtomicBool::new(false);
    let mut records: Vec<CallerRecord> = Vec::new();
    thread::scope(|s| {
        let drivers: Vec<_> = (0..THREADS)
            .map(|i| {
                let (addresses, key) = (addresses.clone(), key.as_str());
                let seed = (opts.seed << 32) + u64::from(i) * u64::from(REQUESTS);
                s.spawn(move || drive(addresses, key, seed, end))
            })
            .collect();
        let disturber = s.spawn(|| disturb(&mut cluster, &done, opts.seed));
        for driver in drivers {
            records.extend(driver.join().unwrap_or_default());
        }
        done.store(true, Ordering::SeqCst);
        let _ = disturber.join();
    });
    thread::sleep(Duration::from_millis(500));
    let log: Vec<_> = cluster.targets.iter().flat_map(Target::log).collect();
    let mismatches = mismatches(&records, &log);
    mismatches
        .iter()
        .for_each(|mismatch| eprintln!("{mismatch}"));
    let double_runs = mismatches.iter().filter(|m| m.starts_with("ran ")).count();
    let count = |outcome: &str| records.iter().filter(|r| r.outcome == outcome).count();
    let unknown = count("unknown");
    let (answers, not_run) = (count("answer"), count("not-run"));
    let held = records.iter().filter(|r| r.reason == "claim_held").count();
    let field = json!({
        "arrivals": records.len(),
        "answers": answers,
        "not_run": not_run,
        "claim_held": held,
    });
    report.figure("mismatches", mismatches.len() as f64, "1", &field);
    report.figure("double_runs", double_runs as f64, "1", &field);
    let share = unknown as f64 / records.len().max(1) as f64;
    report.figure("unknown_share", share, "1", &field);
    Ok(())
}

fn drive(addresses: Vec<SocketAddr>, key: &str, seed: u64, end: Instant) -> Vec<CallerRecord> {
    let mut records = Vec::new();
    let mut run = 0;
    while run * RUN_REQUESTS < REQUESTS / THREADS && Instant::now() < end {
        let mut driver = Driver::new(addresses.clone(), key, seed + u64::from(run));
        records.extend(driver.run(RUN_REQUESTS));
        run += 1;
    }
    records
}

fn counters(cluster: &Cluster) -> Value {
    cluster.daemons[0].status(cluster.operator_token())["counters"].clone()
}

fn sum_of(counters: &Value, prefix: &str) -> f64 {
    let entries = counters.as_object().into_iter().flatten();
    let matching = entries.filter(|(name, _)| name.starts_with(prefix));
    matching.filter_map(|(_, v)| v.as_f64()).sum()
}

/// Measures the attempts per request: the first one plus the counted retries.
fn attempts(cluster: &Cluster, key: &str, report: &mut Report, fault: &str) -> io::Result<()> {
    let before = counters(cluster);
    for n in 0..ATTEMPT_REQUESTS {
        cluster.request(0, key, "GET", &format!("/catalogue/{n}"))?;
    }
    let after = counters(cluster);
    let increase = |prefix| sum_of(&after, prefix) - sum_of(&before, prefix);
    let per_request = 1.0 + increase("retried.") / f64::from(ATTEMPT_REQUESTS);
    let field = json!({"fault": fault});
    report.figure("attempts_per_request", per_request, "1", &field);
    Ok(())
}

fn histogram() -> io::Result<Histogram<u64>> {
    Histogram::new(3).map_err(io::Error::other)
}

fn quantile_ms(latencies: &Histogram<u64>, quantile: f64) -> f64 {
    latencies.value_at_quantile(quantile) as f64 / 1000.0
}

/// Measures the latency that a claim adds to a request, and its number of table writes.
fn claim_latency(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let before = cluster.platform.stats().writes;
    let (plain, claimed) = post_latencies(cluster, key)?;
    thread::sleep(Duration::from_millis(200));
    let writes = cluster.platform.stats().writes - before;
    for (name, quantile) in [("claim_p50_ms", 0.5), ("claim_p99_ms", 0.99)] {
        let added = quantile_ms(&claimed, quantile) - quantile_ms(&plain, quantile);
        report.figure(name, added, "ms", &json!({}));
    }
    let per_claim = writes as f64 / f64::from(CLAIMS);
    report.figure("claim_writes", per_claim, "1", &json!({}));
    Ok(())
}

/// Alternates plain and claimed requests and returns the latencies of both.
fn post_latencies(cluster: &Cluster, key: &str) -> io::Result<(Histogram<u64>, Histogram<u64>)> {
    let mut latencies = (histogram()?, histogram()?);
    let mut client = Client::connect(cluster.daemons[0].caller_address, CALLER_TIMEOUT)?;
    let bearer = format!("Bearer {key}");
    for n in 0..2 * CLAIMS {
        let claimed = n % 2 == 1;
        let name = n.to_string();
        let mut headers = vec![("authorization", bearer.as_str())];
        if claimed {
            headers.push(("idempotency-key", &name));
        }
        let start = Instant::now();
        let reply = client.send("POST", "/catalogue/order", &headers, b"order")?;
        if reply.status != 200 {
            return Err(io::Error::other(reply.text()));
        }
        let histogram = if claimed {
            &mut latencies.1
        } else {
            &mut latencies.0
        };
        let _ = histogram.record(start.elapsed().as_micros() as u64);
    }
    Ok(latencies)
}

/// Measures the response time after all open connections have stopped responding.
pub(crate) fn silent(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let (cluster, key) = start(1, 6)?;
    for method in ["GET", "POST"] {
        let end = Instant::now() + Duration::from_secs(opts.seconds / 4);
        let mut latencies_us = histogram()?;
        let mut failed = 0;
        while Instant::now() < end {
            silent_round(&cluster, &key, "GET", 40)?;
            cluster
                .targets
                .iter()
                .for_each(Target::silence_open_connections);
            let (latencies, round_failures) = silent_round(&cluster, &key, method, 2)?;
            latencies_us.add(latencies).map_err(io::Error::other)?;
            failed += round_failures;
        }
        let field = json!({"method": method, "requests": latencies_us.len(), "failed": failed});
        let p99 = quantile_ms(&latencies_us, 0.99);
        report.figure("silent_answer_p99_ms", p99, "ms", &field);
    }
    Ok(())
}

/// Sends `count` requests from each of 8 callers; returns the latencies and the number of
/// failures.
fn silent_round(
    cluster: &Cluster,
    key: &str,
    method: &str,
    count: u32,
) -> io::Result<(Histogram<u64>, u64)> {
    let address = cluster.daemons[0].caller_address;
    let bearer = format!("Bearer {key}");
    let drive = || -> io::Result<(Histogram<u64>, u64)> {
        let mut latencies = histogram()?;
        let mut failed = 0;
        let mut client = Client::connect(address, CALLER_TIMEOUT)?;
        for _ in 0..count {
            let headers = [("authorization", bearer.as_str())];
            let start = Instant::now();
            let reply = client.send(method, "/catalogue/item", &headers, b"")?;
            failed += u64::from(reply.status != 200);
            let _ = latencies.record(start.elapsed().as_micros() as u64);
        }
        Ok((latencies, failed))
    };
    let mut totals = (histogram()?, 0);
    thread::scope(|s| {
        let callers: Vec<_> = (0..8).map(|_| s.spawn(drive)).collect();
        for caller in callers {
            let joined = caller
                .join()
                .map_err(|_| io::Error::other("caller thread panicked"))?;
            let (latencies, failed) = joined?;
            totals.0.add(latencies).map_err(io::Error::other)?;
            totals.1 += failed;
        }
        Ok::<(), io::Error>(())
    })?;
    Ok(totals)
}

/// Counts the targets that are killed by a crash request that its caller sends repeatedly.
pub(crate) fn poison(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let (cluster, key) = start(6, 12)?;
    for target in &cluster.targets {
        target.set_faults(|f| f.crash_on = Some("crash".into()));
    }
    let mut random = fastrand::Rng::with_seed(opts.seed);
    let mut refused = 0;
    for _ in 0..200 {
        let i = random.usize(0..cluster.daemons.len());
        let reply = cluster.request(i, &key, "GET", "/catalogue/crash")?;
        let reason = reply.json()["reason"].clone();
        refused += u32::from(reason == "crash_suspected" || reason == "crashes_targets");
    }
    let dead = cluster.targets.iter().filter(|t| t.is_dead()).count();
    let field = json!({"arrivals": 200, "refused": refused, "targets": 12, "data_centres": 3});
    report.figure("targets_killed", dead as f64, "1", &field);
    Ok(())
}
