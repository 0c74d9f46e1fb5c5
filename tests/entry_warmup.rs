//! Cold targets before a fleet of entry daemons.

use std::{
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Mutex,
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{configuration, EntryFleet, EntryTarget};

/// Daemons of the fleet, of which two are selected for each target.
const DAEMONS: usize = 8;
/// Requests per second that a cold target takes.
const RATE_PER_S: f64 = 3.0;
/// Factor of the rate, and requests in addition, that the operator tolerates.
const OVER: f64 = 1.5;
const SLACK: f64 = 2.0;
/// Time for which the targets are cold.
const WARMUP: Duration = Duration::from_secs(9);
/// Time in which the daemons learn that targets are cold.
const LEARNING_TIME: Duration = Duration::from_secs(2);
/// Longest time of a response to a request that is not run.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(300);

/// Returns when requests other than probes arrived.
fn arrivals(target: &EntryTarget) -> Vec<Instant> {
    let runs = target.runs();
    let requests = runs
        .iter()
        .filter(|run| !run.request_line.contains("/healthz"));
    requests.map(|run| run.arrived).collect()
}

fn most_per_s(target: &EntryTarget, since: Instant, until: Instant) -> usize {
    let times = arrivals(target).into_iter();
    let times: Vec<Instant> = times.filter(|t| *t > since && *t < until).collect();
    let in_span = |from: &Instant| {
        let span = *from..*from + Duration::from_secs(1);
        times.iter().filter(|t| span.contains(t)).count()
    };
    times.iter().map(in_span).max().unwrap_or(0)
}

struct Response {
    daemon: usize,
    sent: Instant,
    status: u16,
    took: Duration,
    retry_after: Option<String>,
}

/// Guards against a fleet that sends cold targets more than they take while daemons are restarted,
/// suspended or cut off, that leaves them unused, or that lets other requests wait.
#[test]
fn cold_targets_get_no_more_requests_of_the_fleet_than_they_take() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let more = json!({"warmup_over": OVER, "warmup_slack": SLACK});
    let mut fleet = EntryFleet::start_with(program, DAEMONS, &more).expect("the fleet starts");
    let mut cfg = configuration(2);
    cfg["services"]["one"]["warmupS"] = json!(WARMUP.as_secs());
    cfg["services"]["one"]["warmupPerS"] = json!(RATE_PER_S);
    fleet.publish_configuration(&cfg);
    sleep(LEARNING_TIME);
    let written = Instant::now();
    for target in &fleet.targets[..2] {
        target.register_with(&fleet.store, &json!({"warmupLeftS": WARMUP.as_secs()}));
        let left_ms = WARMUP.as_millis().to_string();
        target.set_extra_headers(&[("x-warmup-ms", &left_ms)]);
    }
    sleep(LEARNING_TIME);
    let stop = AtomicBool::new(false);
    let responses = Mutex::new(Vec::new());
    let addresses: Vec<_> = fleet.daemons.iter().map(|d| d.caller_address).collect();
    thread::scope(|scope| {
        for (daemon, address) in addresses.iter().enumerate() {
            let (stop, responses) = (&stop, &responses);
            scope.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let (id, sent) = (format!("{daemon}-{n}"), Instant::now());
                    let headers = [
                        ("host", "shop.example"),
                        ("authorization", "Token key-big"),
                        ("x-request-id", id.as_str()),
                        ("x-deadline-ms", "2000"),
                    ];
                    let reply =
                        standins::Client::send_once(*address, "GET", "/one/x", &headers, b"");
                    let retry_after = reply.as_ref().ok().and_then(|r| r.header("retry-after"));
                    responses.lock().expect("not poisoned").push(Response {
                        daemon,
                        sent,
                        status: reply.as_ref().map_or(0, |r| r.status),
                        took: sent.elapsed(),
                        retry_after: retry_after.map(str::to_owned),
                    });
                    sleep(Duration::from_millis(50));
                }
            });
        }
        sleep(Duration::from_secs(1));
        fleet.daemons[1].restart().expect("restarted");
        fleet.daemons[2].signal("STOP");
        fleet.store_links[3].set_faults(|f| f.cut = true);
        sleep(Duration::from_millis(1500));
        fleet.daemons[2].signal("CONT");
        fleet.daemons[4].restart().expect("restarted");
        sleep(Duration::from_secs(2));
        fleet.store_links[3].set_faults(|f| f.cut = false);
        for target in &fleet.targets[..2] {
            target.set_extra_headers(&[]);
        }
        sleep((written + WARMUP * 2 + Duration::from_secs(1)) - Instant::now());
        stop.store(true, Ordering::Relaxed);
    });
    let responses = responses.into_inner().expect("not poisoned");
    let limit = RATE_PER_S * OVER + SLACK;
    let cold_end = written + WARMUP;
    for target in &fleet.targets[..2] {
        let most = most_per_s(target, written + LEARNING_TIME, cold_end);
        let is_counted = |t: &&Instant| **t > written + LEARNING_TIME && **t < cold_end;
        let all = arrivals(target).iter().filter(is_counted).count();
        println!("{}: {most} in 1 s, {all} in all", target.id);
        assert!(most as f64 <= limit, "{}: {most} in 1 s", target.id);
        let taken = (WARMUP - LEARNING_TIME).as_secs_f64() * RATE_PER_S;
        assert!(all as f64 >= 0.7 * taken, "{}: {all} in all", target.id);
    }
    let rejected: Vec<&Response> = responses.iter().filter(|r| r.status == 503).collect();
    assert!(rejected.len() > 100, "{} rejected", rejected.len());
    // Daemons that were disturbed reject for other reasons, too.
    for response in rejected.iter().filter(|r| r.daemon > 4) {
        assert!(response.took < MAX_REJECTION_TIME, "{:?}", response.took);
        let wait = response
            .retry_after
            .as_deref()
            .and_then(|text| text.parse::<f64>().ok());
        assert!(wait.is_some_and(|s| s > 0.0 && s < 8.0), "{wait:?}");
    }
    let warm = written + WARMUP * 2;
    let late: Vec<&Response> = responses.iter().filter(|r| r.sent > warm).collect();
    let answered = late.iter().filter(|r| r.status == 200).count();
    println!(
        "{} rejected, {answered} of {} answered when warm",
        rejected.len(),
        late.len()
    );
    assert_eq!(answered, late.len(), "answered when the targets are warm");
}
