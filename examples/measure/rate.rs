//! Measures requests that are refused within their rate or admitted above it, for limiters with
//! slice owners and with a static split.

#[path = "../../tests/limit/load.rs"]
mod load;

use std::{
    io, thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{Cluster, ClusterOptions};

use crate::{figure::Report, fleet, RunOptions};

use load::Load;

const DAEMONS: usize = 6;
/// Rate of the workspace, 1/s.
const RATE: f64 = 60.0;
/// Burst of the workspace.
const BURST: u32 = 20;
/// Time for a fleet to distribute its slices, and to react to an outage.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Fleet sizes at which the load on the table is measured.
const TABLE_DAEMONS: [usize; 3] = [3, 12, 36];

/// A fleet with one workspace, and the kind of its limiter.
struct Fleet {
    cluster: Cluster,
    key: String,
    limiter: &'static str,
    seed: u64,
}

impl Fleet {
    fn start(limiter: &'static str, daemons: usize, seed: u64) -> io::Result<Self> {
        let cluster = Cluster::start(ClusterOptions {
            daemons,
            slots: 64,
            settings: json!({"limiter": limiter}),
            ..fleet::options()?
        })?;
        thread::sleep(SETTLE_TIME);
        let key = cluster.add_workspace("parish", RATE, BURST)?;
        thread::sleep(Duration::from_secs(2));
        Ok(Self {
            cluster,
            key,
            limiter,
            seed,
        })
    }

    /// Sends `share` of the rate for `time` and reports the shares of refused and admitted
    /// requests.
    fn measure(&self, report: &mut Report, state: &str, share: f64, time: Duration) {
        let load = Load::start(&self.cluster, &self.key, RATE * share, self.seed);
        thread::sleep(time);
        let sent = load.finish();
        let executed = load::executed(&self.cluster, &sent);
        let refused = sent.iter().filter(|s| s.status == Some(429));
        let unavailable = sent.iter().filter(|s| s.status == Some(503));
        let without_response = sent.iter().filter(|s| s.status.is_none());
        let count = sent.len().max(1) as f64;
        let fields = json!({"limiter": self.limiter, "state": state, "load_share": share,
            "sent": sent.len()});
        let refused = (refused.count() + unavailable.count()) as f64 / count;
        if share < 1.0 {
            let name = match self.limiter {
                "owned" => "wrongly_refused_share",
                _ => "static_wrongly_refused_share",
            };
            report.figure(name, refused, "1", &fields);
        }
        report.figure(
            "unanswered_share",
            without_response.count() as f64 / count,
            "1",
            &fields,
        );
        let plan = RATE * time.as_secs_f64();
        let admitted = executed.len() as f64 / plan;
        report.figure("admitted_share_of_rate", admitted, "1", &fields);
        let violation = load::find_violation(&executed, RATE, f64::from(BURST));
        let excess = violation.map_or(0.0, |v| {
            v.admitted as f64 - f64::from(BURST) - RATE * v.seconds
        });
        report.figure("over_plan_requests", excess, "1", &fields);
    }
}

/// Measures a healthy fleet, and one that has just lost a daemon.
pub(crate) fn rate(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let phase_time = Duration::from_secs_f64(opts.seconds as f64 / 16.0);
    for limiter in ["owned", "static_split"] {
        let mut fleet = Fleet::start(limiter, DAEMONS, opts.seed)?;
        for share in [0.5, 0.9, 5.0] {
            fleet.measure(report, "healthy", share, phase_time);
        }
        fleet.cluster.daemons[0].kill();
        fleet.measure(report, "one daemon killed", 0.5, phase_time * 2);
    }
    Ok(())
}

/// Measures a fleet during an outage of the table, and the load on the table in healthy fleets.
pub(crate) fn outage(opts: &RunOptions, report: &mut Report) -> io::Result<()> {
    let phase_time = Duration::from_secs_f64(opts.seconds as f64 / 10.0);
    let fleet = Fleet::start("owned", DAEMONS, opts.seed)?;
    fleet.cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(SETTLE_TIME);
    for share in [0.5, 0.9, 5.0] {
        fleet.measure(report, "outage", share, phase_time);
    }
    drop(fleet);
    for daemons in TABLE_DAEMONS {
        let fleet = Fleet::start("owned", daemons, opts.seed)?;
        let fields = json!({"daemons": daemons});
        measure_table(&fleet.cluster, report, phase_time, &fields);
    }
    Ok(())
}

fn measure_table(cluster: &Cluster, report: &mut Report, time: Duration, fields: &Value) {
    let start = Instant::now();
    let before = cluster.platform.stats();
    thread::sleep(time);
    let after = cluster.platform.stats();
    let seconds = start.elapsed().as_secs_f64();
    let figures = [
        ("table_writes_per_s", before.writes, after.writes),
        ("table_reads_per_s", before.reads, after.reads),
        ("table_bytes_per_s", before.bytes, after.bytes),
    ];
    for (name, before, after) in figures {
        report.figure(name, (after - before) as f64 / seconds, "1/s", fields);
    }
}
