//! Evacuation of data centres by a fleet of entry daemons.

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
use standins::{EntryFleet, TargetBehaviour};

/// Daemons of the fleet.
const DAEMONS: usize = 6;
/// Time after the row was written from which no request may reach an evacuated target.
const EVACUATION_TIMEOUT: Duration = Duration::from_secs(5);

fn runs_between(fleet: &EntryFleet, target: usize, since: Instant, until: Instant) -> usize {
    let runs = fleet.targets[target].runs();
    let in_time = runs
        .iter()
        .filter(|run| run.arrived > since && run.arrived < until);
    in_time.count()
}

/// Guards against daemons that send to an evacuated data centre too long, abort what they had sent,
/// fail requests that other targets could take, or do not return after the reversal.
#[test]
fn evacuated_data_centre_gets_no_requests_until_the_row_is_removed() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, DAEMONS).expect("the fleet starts");
    fleet.targets[1].register_with(&fleet.store, &json!({"zone": "b"}));
    sleep(Duration::from_secs(2));
    let stop = AtomicBool::new(false);
    let statuses = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for i in 0..DAEMONS {
            let (fleet, stop, statuses) = (&fleet, &stop, &statuses);
            scope.spawn(move || {
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{i}-{n}");
                    let reply = fleet.request(i, "key-big", "GET", "/one/x", &id);
                    let status = reply.map_or(0, |reply| reply.status);
                    statuses.lock().expect("not poisoned").push(status);
                    sleep(Duration::from_millis(50));
                }
            });
        }
        sleep(Duration::from_secs(1));
        // The requests that are in flight when the row is written end after it is in force.
        fleet.targets[0].set_behaviour(TargetBehaviour::AnswersAfter(Duration::from_millis(700)));
        sleep(Duration::from_millis(300));
        let written = Instant::now();
        fleet.store.put("op", "evacuate/a", b"not json");
        sleep(EVACUATION_TIMEOUT + Duration::from_secs(2));
        let removed = Instant::now();
        let runs = fleet.targets[0].runs();
        let last = runs
            .iter()
            .map(|run| run.arrived)
            .filter(|t| *t > written)
            .max();
        println!("last request after {:?}", last.map(|t| t - written));
        fleet.targets[0].set_behaviour(TargetBehaviour::default());
        let late = runs_between(&fleet, 0, written + EVACUATION_TIMEOUT, removed);
        assert_eq!(late, 0, "requests at the evacuated target");
        fleet.store.remove("op", "evacuate/a");
        sleep(Duration::from_secs(4));
        stop.store(true, Ordering::Relaxed);
        let returned = runs_between(&fleet, 0, removed, Instant::now());
        assert!(returned > 0, "no request after the reversal");
    });
    let statuses = statuses.into_inner().expect("not poisoned");
    let failed = statuses.iter().filter(|status| **status != 200).count();
    assert_eq!(failed, 0, "failed of {} requests", statuses.len());
}

/// Guards against requests that wait or run when no data centre with targets is left, and against a
/// daemon that starts during the evacuation and does not know of it.
#[test]
fn requests_are_rejected_at_once_while_all_targets_are_evacuated() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, 3).expect("the fleet starts");
    fleet.store.put("op", "evacuate/a", b"{}");
    sleep(EVACUATION_TIMEOUT);
    fleet.daemons[2].restart().expect("restarted");
    let end = Instant::now() + Duration::from_secs(10);
    while !fleet.daemons[2].is_ready() && Instant::now() < end {
        sleep(Duration::from_millis(50));
    }
    for i in 0..3 {
        let sent = Instant::now();
        let id = format!("rejected-{i}");
        let reply = fleet
            .request(i, "key-big", "GET", "/one/x", &id)
            .expect("a reply");
        assert_eq!(reply.status, 503, "daemon {i}");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        assert!(text.contains("no_target"), "daemon {i}: {text}");
        assert!(sent.elapsed() < Duration::from_millis(300), "daemon {i}");
        assert_eq!(fleet.run_count(&id), 0);
    }
}
