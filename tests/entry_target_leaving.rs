//! Targets that say in their answers that they leave.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use standins::EntryFleet;

/// Daemons of a fleet.
const DAEMONS: usize = 6;
/// Time after an answer says that a target leaves from which it must get no requests.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(2);

fn start() -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, DAEMONS).expect("the fleet starts")
}

/// Sends `n` requests to each of `daemons`; returns how many were answered.
fn send(fleet: &EntryFleet, daemons: &[usize], n: usize) -> usize {
    let send = |i: usize| {
        let id = format!("{i}-{n}");
        let replies = (0..n).map(|_| fleet.request(i, "key-big", "GET", "/one/x", &id));
        replies
            .filter(|r| r.as_ref().is_ok_and(|r| r.status == 200))
            .count()
    };
    daemons.iter().map(|i| send(*i)).sum()
}

/// Sends requests to daemon 0 until the target answers one.
fn tell_first_daemon(fleet: &EntryFleet) {
    fleet.targets[0].set_extra_headers(&[("server-leaving", "1")]);
    let before = fleet.targets[0].runs().len();
    let end = Instant::now() + Duration::from_secs(5);
    while fleet.targets[0].runs().len() == before && Instant::now() < end {
        send(fleet, &[0], 1);
    }
}

fn runs_since(fleet: &EntryFleet, since: Instant) -> usize {
    let runs = fleet.targets[0].runs();
    runs.iter().filter(|run| run.arrived > since).count()
}

#[test]
fn target_that_says_that_it_leaves_gets_no_more_requests_of_the_fleet() {
    struct Case {
        name: &'static str,
        disturb: fn(&mut EntryFleet),
        /// Daemons that send requests afterwards.
        daemons: &'static [usize],
        /// Most requests that reach the target: a daemon that missed the notice hears it by one.
        max_runs: usize,
    }
    let cases = [
        Case {
            name: "listed as ready all the while",
            disturb: |_| {},
            daemons: &[0, 1, 2, 3, 4, 5],
            max_runs: 0,
        },
        Case {
            name: "store cut off",
            disturb: |fleet| {
                for link in &fleet.store_links {
                    link.set_faults(|f| f.cut = true);
                }
            },
            daemons: &[0, 1, 2, 3, 4, 5],
            max_runs: 0,
        },
        Case {
            name: "entry written again as ready",
            disturb: |fleet| fleet.targets[0].register(&fleet.store, "ready"),
            daemons: &[0, 1, 2, 3, 4, 5],
            max_runs: 0,
        },
        Case {
            name: "one daemon killed and restarted, one frozen",
            disturb: |fleet| {
                fleet.daemons[1].restart().expect("restarted");
                fleet.daemons[2].signal("STOP");
                sleep(Duration::from_secs(1));
                fleet.daemons[2].signal("CONT");
            },
            daemons: &[0, 2, 3, 4, 5],
            max_runs: 1,
        },
    ];
    for case in &cases {
        let mut fleet = start();
        tell_first_daemon(&fleet);
        (case.disturb)(&mut fleet);
        sleep(LEAVING_TIMEOUT);
        let since = Instant::now();
        let answered = send(&fleet, case.daemons, 10);
        assert_eq!(answered, case.daemons.len() * 10, "{}: answered", case.name);
        let runs = runs_since(&fleet, since);
        assert!(
            runs <= case.max_runs,
            "{}: {runs} requests at the target",
            case.name
        );
    }
}

#[test]
fn later_start_of_a_target_that_left_gets_requests_again() {
    let fleet = start();
    tell_first_daemon(&fleet);
    sleep(LEAVING_TIMEOUT);
    fleet.targets[0].set_extra_headers(&[]);
    fleet.targets[0].register_start(&fleet.store, "ready", 1_800_000_000_000);
    sleep(LEAVING_TIMEOUT);
    let since = Instant::now();
    send(&fleet, &[0, 1, 2, 3, 4, 5], 20);
    assert!(runs_since(&fleet, since) > 0, "no request at the new start");
}
