//! Planned stop of a daemon that reads the store for its data centre.

use std::{
    path::Path,
    rc::Rc,
    thread::sleep,
    time::{Duration, Instant},
};

use chervillug::{clock::BootTime, follow::ReaderSelector};
use standins::{configuration, EntryFleet};

/// Daemons of the fleet, half of them in the data centre `a`.
const DAEMONS: usize = 8;
/// Time within which a configuration must be in effect on all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(2);
/// Time within which the next daemon reads the store, less than the timeout of a standby reader.
const SUCCESSION_LIMIT: Duration = Duration::from_millis(500);

fn at(ms: u64) -> BootTime {
    BootTime::from_duration(Duration::from_millis(1_000_000 + ms))
}

/// Guards against the selection of a reader that leaves, and against leaving it out for good.
#[test]
fn reader_that_leaves_is_not_selected_for_some_time() {
    let hosts: Vec<Rc<str>> = (0..6).map(|i| Rc::from(format!("host-{i}"))).collect();
    let mut selector = ReaderSelector::default();
    let before = selector.select(&hosts, at(0));
    selector.mark_leaving(&before[0], at(0));
    let after = selector.select(&hosts, at(100));
    assert_eq!(after[0], before[1]);
    assert!(!after.contains(&before[0]));
    assert_eq!(selector.select(&hosts, at(20_000)), before);
}

/// Returns the indices of the readers of data centre `a`, in order of preference.
fn readers(fleet: &EntryFleet) -> Vec<usize> {
    let hosts = fleet.daemons.iter().step_by(2);
    let hosts: Vec<Rc<str>> = hosts.map(|d| Rc::from(&*d.host)).collect();
    let chosen = ReaderSelector::default().select(&hosts, BootTime::default());
    let index = |host: &str| fleet.daemons.iter().position(|d| d.host == host);
    chosen.iter().filter_map(|host| index(host)).collect()
}

/// Guards against daemons that poll a reader until it has exited, and find the next one by timeouts.
#[test]
fn daemons_switch_to_the_next_reader_when_one_leaves() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, DAEMONS).expect("no fleet");
    sleep(Duration::from_secs(3));
    let readers = readers(&fleet);
    let (reader, next) = (readers[0], readers[1]);
    let others: Vec<usize> = (0..DAEMONS).filter(|i| *i != reader).collect();
    let before: Vec<usize> = others
        .iter()
        .map(|i| fleet.daemons[*i].log().len())
        .collect();
    let log_since =
        |fleet: &EntryFleet, n: usize| fleet.daemons[others[n]].log()[before[n]..].to_owned();
    let position = others
        .iter()
        .position(|i| *i == next)
        .expect("no next reader");

    fleet.daemons[reader].signal("TERM");
    let stopped = Instant::now();
    while !log_since(&fleet, position).contains("ForOthers") {
        assert!(
            stopped.elapsed() < SUCCESSION_LIMIT,
            "the next reader does not read"
        );
        sleep(Duration::from_millis(10));
    }
    println!("the next reader reads after {:?}", stopped.elapsed());
    let code = fleet.daemons[reader].wait_exit(Duration::from_secs(6));
    assert_eq!(code, Some(0));
    let mut cfg = configuration(2);
    cfg["tenants"]["big"]["apiKeys"] = serde_json::json!(["key-big"]);
    fleet.publish_configuration(&cfg);
    sleep(PROPAGATION_LIMIT);
    for (n, i) in others.iter().enumerate() {
        let reply = fleet.request(*i, "key-big-2", "GET", "/one/x", "withdrawn");
        assert_eq!(reply.map_or(0, |r| r.status), 401, "daemon {i}");
        let log = log_since(&fleet, n);
        assert!(!log.contains("reader did not respond"), "daemon {i}: {log}");
    }
}
