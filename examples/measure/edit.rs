//! Spreading of edits, and what control costs, against the count of daemons.

use std::{
    fs, io, thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{Client, Cluster};

use crate::{figure::Report, fleet, RunOptions};

const SIZES: [usize; 3] = [3, 12, 36];
/// Edits whose spreading is timed, for each size.
const EDITS: usize = 10;
/// Time between two edits while the cost of control is taken, that of 17,000 edits a day.
const EDIT_INTERVAL: Duration = Duration::from_millis(5082);
/// Share of the run's time that is spent on the cost of control, over all sizes.
const COST_SHARE: f64 = 0.25;
/// Time of an outage before its cost is taken, and for which it is taken.
const OUTAGE_WINDOW: Duration = Duration::from_secs(5);
/// Longest time for a fleet to come about, or an edit to spread.
const PATIENCE: Duration = Duration::from_secs(30);
/// Ticks of the kernel's processor time per second.
const TICKS_PER_S: f64 = 100.0;

/// What control has cost up to a moment.
struct Cost {
    at: Instant,
    writes: u64,
    reads: u64,
    bytes: f64,
    cpu_s: f64,
}

/// Measures edits and the cost of control in fleets of several sizes, one after the other.
pub(crate) fn edit(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let window = opts.seconds as f64 * COST_SHARE / SIZES.len() as f64;
    for size in SIZES {
        let mut shape = fleet::options()?;
        shape.daemons = size;
        let begin = Instant::now();
        let cluster = Cluster::start(shape)?;
        wait_until("members", || members(&cluster) == size)?;
        let field = json!({"daemons": size});
        report.figure(
            "members_settled_s",
            begin.elapsed().as_secs_f64(),
            "s",
            &field,
        );
        let key = cluster.add_workspace("parish", 1e6, 1_000_000)?;
        control_cost(&cluster, Duration::from_secs_f64(window), report)?;
        time_edits(&cluster, opts.seed, report)?;
        time_withdrawal(&cluster, &key, report)?;
        outage_cost(&cluster, report)?;
    }
    Ok(())
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) -> io::Result<()> {
    let end = Instant::now() + PATIENCE;
    while !done() {
        if Instant::now() > end {
            return Err(io::Error::other(format!("{what}: not in time")));
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

fn members(cluster: &Cluster) -> usize {
    let status = cluster.daemons[0].status(cluster.operator_token());
    let members = status["members"].as_array();
    members.map_or(0, |m| m.iter().filter(|m| m["phase"] == "settled").count())
}

fn cost(cluster: &Cluster) -> io::Result<Cost> {
    let stats = cluster.platform.stats();
    let mut cost = Cost {
        at: Instant::now(),
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
        cost.cpu_s += cpu_s(daemon.id())?;
    }
    Ok(cost)
}

/// Returns the processor time of a process.
fn cpu_s(pid: u32) -> io::Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let behind_name = stat.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = behind_name.split_whitespace().collect();
    let ticks = |i: usize| fields.get(i).and_then(|f| f.parse::<f64>().ok());
    let sum = ticks(11).zip(ticks(12)).map(|(user, system)| user + system);
    sum.map(|t| t / TICKS_PER_S)
        .ok_or_else(|| io::Error::other("stat of a process"))
}

fn control_cost(cluster: &Cluster, window: Duration, report: &mut Report) -> io::Result<()> {
    let daemons = cluster.daemons.len();
    let before = cost(cluster)?;
    let end = before.at + window;
    let mut n = 0;
    while Instant::now() < end {
        set_plan(cluster, n % daemons, n)?;
        n += 1;
        let left = end.saturating_duration_since(Instant::now());
        thread::sleep(left.min(EDIT_INTERVAL));
    }
    let after = cost(cluster)?;
    let s = (after.at - before.at).as_secs_f64();
    let per_daemon = s * daemons as f64;
    let field = json!({"daemons": daemons});
    let figures = [
        (
            "table_writes_per_s",
            (after.writes - before.writes) as f64 / s,
            "1/s",
        ),
        (
            "table_reads_per_s",
            (after.reads - before.reads) as f64 / s,
            "1/s",
        ),
        (
            "control_bytes_per_s",
            (after.bytes - before.bytes) / per_daemon,
            "B/s",
        ),
        (
            "control_core_share",
            (after.cpu_s - before.cpu_s) / per_daemon,
            "1",
        ),
    ];
    for (name, value, unit) in figures {
        report.figure(name, value, unit, &field);
    }
    Ok(())
}

/// Takes the cost of control while the platform is out.
fn outage_cost(cluster: &Cluster, report: &mut Report) -> io::Result<()> {
    cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(OUTAGE_WINDOW);
    let before = cost(cluster)?;
    thread::sleep(OUTAGE_WINDOW);
    let after = cost(cluster)?;
    let daemons = cluster.daemons.len();
    let per_daemon = (after.at - before.at).as_secs_f64() * daemons as f64;
    let token = cluster.operator_token();
    let serving = cluster
        .daemons
        .iter()
        .filter(|d| d.status(token)["ready"] == true);
    let share = serving.count() as f64 / daemons as f64;
    let field = json!({"daemons": daemons});
    let bytes = (after.bytes - before.bytes) / per_daemon;
    report.figure("outage_control_bytes_per_s", bytes, "B/s", &field);
    report.figure("outage_serving_share", share, "1", &field);
    Ok(())
}

/// Changes a plan through daemon `via` and returns the revision.
fn set_plan(cluster: &Cluster, via: usize, n: usize) -> io::Result<u64> {
    let change = json!({"set_plan":
        {"workspace": "choir", "plan": "small", "rate_per_s": 1.0 + n as f64, "burst": 1}});
    let reply = cluster.edit(via, &change)?;
    let revision = reply.json()["revision"].as_u64();
    revision.ok_or_else(|| io::Error::other(reply.text()))
}

fn time_edits(cluster: &Cluster, seed: u64, report: &mut Report) -> io::Result<()> {
    let mut random = fastrand::Rng::with_seed(seed);
    let daemons = cluster.daemons.len();
    let mut times = Vec::new();
    for n in 0..EDITS {
        let begin = Instant::now();
        let revision = set_plan(cluster, random.usize(..daemons), n)?;
        times.extend(in_force_times(cluster, revision, begin)?);
    }
    times.sort_by(f64::total_cmp);
    let field = json!({"daemons": daemons, "edits": EDITS});
    let at = |q: f64| times[((times.len() - 1) as f64 * q).round() as usize];
    for (name, value) in [
        ("in_force_p50_s", at(0.5)),
        ("in_force_p99_s", at(0.99)),
        ("in_force_max_s", at(1.0)),
    ] {
        report.figure(name, value, "s", &field);
    }
    Ok(())
}

/// Returns for each daemon when it was first seen to hold the revision.
fn in_force_times(cluster: &Cluster, revision: u64, begin: Instant) -> io::Result<Vec<f64>> {
    let token = cluster.operator_token();
    let holds = |status: &Value| status["revision"].as_u64() >= Some(revision);
    let mut times = Vec::new();
    for daemon in &cluster.daemons {
        wait_until("edit", || holds(&daemon.status(token)))?;
        times.push(begin.elapsed().as_secs_f64());
    }
    Ok(times)
}

fn time_withdrawal(cluster: &Cluster, key: &str, report: &mut Report) -> io::Result<()> {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut clients = Vec::new();
    for daemon in &cluster.daemons {
        let mut client = Client::connect(daemon.caller_address, PATIENCE)?;
        wait_until("key", || {
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
        wait_until("withdrawal", || {
            client
                .send("GET", "/catalogue", &headers, b"")
                .is_ok_and(|r| r.status == 401)
        })?;
    }
    let field = json!({"daemons": clients.len()});
    report.figure(
        "withdrawn_max_s",
        begin.elapsed().as_secs_f64(),
        "s",
        &field,
    );
    Ok(())
}
