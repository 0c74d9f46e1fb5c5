//! Rates over a fleet of entry daemon processes, through kills of slice holders.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use standins::EntryFleet;

/// Rate and burst of the workspace `small`.
const RATE: f64 = 4.0;
const BURST: f64 = 4.0;
/// Window of the operator's bound.
const WINDOW: Duration = Duration::from_secs(5);
/// Requests above rate and burst that the operator tolerates.
const SLACK: f64 = 20.0;

fn max_in_window(served: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        let end = *from + WINDOW;
        served.iter().filter(|t| **t >= *from && **t < end).count()
    };
    served.iter().map(in_window).max().unwrap_or(0)
}

#[test]
fn workspace_stays_within_its_plan_through_kills() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 4).expect("fleet did not start");
    sleep(Duration::from_secs(3));
    let start = Instant::now();
    let mut served = Vec::new();
    let mut killed = 0;
    for i in 0.. {
        let elapsed = start.elapsed();
        if elapsed > Duration::from_secs(16) {
            break;
        }
        if killed < 4 && elapsed > Duration::from_secs(3 * (killed as u64 + 1)) {
            fleet.daemons[killed]
                .restart()
                .expect("daemon did not restart");
            killed += 1;
        }
        let reply = fleet.request(i % 4, "key-small", "GET", "/one/x", &format!("q-{i}"));
        if reply.is_ok_and(|r| r.status == 200) {
            served.push(Instant::now());
        }
        sleep(Duration::from_millis(5));
    }
    let allowed = (RATE * WINDOW.as_secs_f64() + BURST) * 1.1 + SLACK;
    let max_served = max_in_window(&served);
    assert!(
        max_served as f64 <= allowed,
        "{max_served} requests in one window, {allowed} allowed"
    );
    // With only one of two slices available the workspace still gets half of its rate.
    let min_served = 16.0 * RATE / 2.0;
    assert!(
        served.len() as f64 >= min_served,
        "{} requests served",
        served.len()
    );
}
