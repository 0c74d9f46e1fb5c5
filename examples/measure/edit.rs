//! Propagation time of edits and cost of the control plane, by number of daemons.

use std::{
    fs, io, thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{Client, Cluster};

use crate::{figure::Report, fleet, RunOptions};

/// Numbers of daemons.
const FLEET_SIZES: [usize; 3] = [3, 12, 36];
/// Edits whose propagation is timed, per fleet size.
const TIMED_EDITS: usize = 10;
/// Interval between edits while the control cost is measured; equals 17,000 edits a day.
const EDIT_INTERVAL: Duration = Duration::from_millis(5082);
/// Fraction of the run time in which the control cost is measured, over all fleet sizes.
const CONTROL_COST_SHARE: f64 = 0.25;
/// Duration of an outage before its cost is measured, and of that measurement.
const OUTAGE_WINDOW: Duration = Duration::from_secs(5);
/// Timeout for a fleet to form and for an edit to propagate.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Clock ticks per second in `/proc/<pid>/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Cumulative cost of the control plane at a point in time.
struct ControlCost {
    taken_at: Instant,
    writes: u64,
    reads: u64,
    bytes: f64,
    cpu_s: f64,
}

/// Measures edit propagation and the cost of the control plane, one fleet size after the other.
pub(crate) fn edit(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let window = opts.seconds as f64 * CONTROL_COST_SHARE / FLEET_SIZES.len() as f64;
    for size in FLEET_SIZES {
        let mut cluster_opts = fleet::options()?;
        cluster_opts.daemons = size;
        let begin = Instant::now();
        let cluster = Cluster::start(cluster_opts)?;
        wait_until("fleet membership", || {
            settled_member_count(&cluster) == size
        })?;
        let fields = json!({"daemons": size});
        report.figure(
            "members_settled_s",
            begin.elapsed().as_secs_f64(),
            "s",
            &fields,
        );
        let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
        measure_control_cost(&cluster, Duration::from_secs_f64(window), report)?;
        measure_edit_propagation(&cluster, opts.seed, report)?;
        measure_key_withdrawal(&cluster, &key, report)?;
        measure_outage_cost(&cluster, report)?;
    }
    Ok(())
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) -> io::Result<()> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        if Instant::now() > deadline {
            return Err(io::Error::other(format!(
                "{what}: not reached within {WAIT_TIMEOUT:?}"
            )));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn settled_member_count(cluster: &Cluster) -> usize {
    let status = cluster.daemons[0].status(cluster.operator_token());
    let members = status["members"].as_array();
    members.map_or(0, |m| m.iter().filter(|m| m["phase"] == "settled").count())
}

fn read_control_cost(cluster: &Cluster) -> io::Result<ControlCost> {
    let stats = cluster.platform.stats();
    let mut cost = ControlCost {
        taken_at: Instant::now(),
        writes: stats.writes,
        reads: stats.reads,
        bytes: 0.0,
        cpu_s: 0.0,
    };
    for daemon in &cluster.daemons {
        let counters = &daemon.status(cluster.operator_token())["counters"];
        for name in ["peer_control_bytes", "platform_bytes"] {
            cost.bytes += counters[name].as_f64().unwrap_or(0.0);
        }
        cost.cpu_s += read_cpu_s(daemon.id())?;
    }
    Ok(cost)
}

/// Returns the CPU time of a process, user and system, s.
fn read_cpu_s(pid: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
    let sum = ticks(11).zip(ticks(12)).map(|(user, system)| user + system);
    sum.map(|t| t / CLOCK_TICKS_PER_S)
        .ok_or_else(|| io::Error::other(format!("/proc/{pid}/stat is malformed")))
}

fn measure_control_cost(
    cluster: &Cluster,
    window: Duration,
    report: &mut Report,
) -> io::Result<()> {
    let daemons = cluster.daemons.len();
    let before = read_control_cost(cluster)?;
    let end = before.taken_at + window;
    let mut edits = 0;
    while Instant::now() < end {
        set_plan(cluster, edits % daemons, edits)?;
        edits += 1;
        let remaining = end.saturating_duration_since(Instant::now());
        thread::sleep(remaining.min(EDIT_INTERVAL));
    }
    let after = read_control_cost(cluster)?;
    let elapsed_s = (after.taken_at - before.taken_at).as_secs_f64();
    let daemon_seconds = elapsed_s * daemons as f64;
    let fields = json!({"daemons": daemons});
    let figures = [
        (
            "table_writes_per_s",
            (after.writes - before.writes) as f64 / elapsed_s,
            "1/s",
        ),
        (
            "table_reads_per_s",
            (after.reads - before.reads) as f64 / elapsed_s,
            "1/s",
        ),
        (
            "control_bytes_per_s",
            (after.bytes - before.bytes) / daemon_seconds,
            "B/s",
        ),
        (
            "control_core_share",
            (after.cpu_s - before.cpu_s) / daemon_seconds,
            "1",
        ),
    ];
    for (name, value, unit) in figures {
        report.figure(name, value, unit, &fields);
    }
    Ok(())
}

/// Measures control traffic and the share of ready daemons during an outage of the platform.
fn measure_outage_cost(cluster: &Cluster, report: &mut Report) -> io::Result<()> {
    cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(OUTAGE_WINDOW);
    let before = read_control_cost(cluster)?;
    thread::sleep(OUTAGE_WINDOW);
    let after = read_control_cost(cluster)?;
    let daemons = cluster.daemons.len();
    let daemon_seconds = (after.taken_at - before.taken_at).as_secs_f64() * daemons as f64;
    let token = cluster.operator_token();
    let ready = cluster
        .daemons
        .iter()
        .filter(|d| d.status(token)["ready"] == true);
    let ready_share = ready.count() as f64 / daemons as f64;
    let fields = json!({"daemons": daemons});
    let bytes_per_s = (after.bytes - before.bytes) / daemon_seconds;
    report.figure("outage_control_bytes_per_s", bytes_per_s, "B/s", &fields);
    report.figure("outage_serving_share", ready_share, "1", &fields);
    Ok(())
}

/// Changes the rate of a plan through daemon `via` and returns the revision of the edit.
fn set_plan(cluster: &Cluster, via: usize, n: usize) -> io::Result<u64> {
    let change = json!({"set_plan":
        {"workspace": "choir", "plan": "small", "rate_per_s": 1.0 + n as f64, "burst": 1}});
    let reply = cluster.edit(via, &change)?;
    let revision = reply.json()["revision"].as_u64();
    revision.ok_or_else(|| io::Error::other(reply.text()))
}

fn measure_edit_propagation(cluster: &Cluster, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut random = fastrand::Rng::with_seed(seed);
    let daemons = cluster.daemons.len();
    let mut times = Vec::new();
    for n in 0..TIMED_EDITS {
        let begin = Instant::now();
        let revision = set_plan(cluster, random.usize(..daemons), n)?;
        times.extend(propagation_times(cluster, revision, begin)?);
    }
    times.sort_by(f64::total_cmp);
    let fields = json!({"daemons": daemons, "edits": TIMED_EDITS});
    let quantile = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize];
    for (name, value) in [
        ("in_force_p50_s", quantile(0.5)),
        ("in_force_p99_s", quantile(0.99)),
        ("in_force_max_s", quantile(1.0)),
    ] {
        report.figure(name, value, "s", &fields);
    }
    Ok(())
}

/// Returns the time from `begin` until each daemon was observed at `revision` or later, s.
fn propagation_times(cluster: &Cluster, revision: u64, begin: Instant) -> io::Result<Vec<f64>> {
    let token = cluster.operator_token();
    let is_applied = |status: &Value| status["revision"].as_u64() >= Some(revision);
    let mut times = Vec::new();
    for daemon in &cluster.daemons {
        wait_until("edit propagation", || is_applied(&daemon.status(token)))?;
        times.push(begin.elapsed().as_secs_f64());
    }
    Ok(times)
}

fn measure_key_withdrawal(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut clients = Vec::new();
    for daemon in &cluster.daemons {
        let mut client = Client::connect(daemon.caller_address, WAIT_TIMEOUT)?;
        wait_until("key activation", || {
            client
                .send("GET", "/catalogue", &headers, b"")
                .is_ok_and(|r| r.status == 200)
        })?;
        clients.push(client);
    }
    let keys = cluster
        .operator_request(0, "GET", "/keys", &Value::Null)?
        .json();
    let change = json!({"withdraw_key": {"hash": keys[0]["hash"]}});
    let begin = Instant::now();
    let reply = cluster.edit(0, &change)?;
    if reply.status != 200 {
        return Err(io::Error::other(reply.text()));
    }
    for client in &mut clients {
        wait_until("key withdrawal", || {
            client
                .send("GET", "/catalogue", &headers, b"")
                .is_ok_and(|r| r.status == 401)
        })?;
    }
    let fields = json!({"daemons": clients.len()});
    report.figure(
        "withdrawn_max_s",
        begin.elapsed().as_secs_f64(),
        "s",
        &fields,
    );
    Ok(())
}
