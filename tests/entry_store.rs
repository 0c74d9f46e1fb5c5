//! End-to-end tests of keys, configurations and store faults on the users' platform.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use standins::{configuration, Client, EntryFleet, RowStoreFaults};

/// Maximum time for which a withdrawn key may be accepted.
const MAX_KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

fn start(daemons: usize) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, daemons).expect("the fleet starts")
}

fn status(fleet: &EntryFleet, key: &str, path: &str) -> u16 {
    let reply = fleet.request(0, key, "GET", path, "status");
    reply.map_or(0, |r| r.status)
}

fn eventually(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if done() {
            return true;
        }
        sleep(Duration::from_millis(50));
    }
    done()
}

struct Outage {
    name: &'static str,
    faults: fn() -> RowStoreFaults,
}

const OUTAGES: [Outage; 3] = [
    Outage {
        name: "no response",
        faults: || RowStoreFaults {
            down: true,
            ..RowStoreFaults::default()
        },
    },
    Outage {
        name: "rate limited",
        faults: || RowStoreFaults {
            refuse_with: Some(429),
            ..RowStoreFaults::default()
        },
    },
    Outage {
        name: "unavailable",
        faults: || RowStoreFaults {
            refuse_with: Some(503),
            ..RowStoreFaults::default()
        },
    },
];

#[test]
fn without_a_fresh_proof_keys_are_refused_and_open_routes_are_served() {
    for case in &OUTAGES {
        let fleet = start(1);
        fleet.store.set_faults((case.faults)());
        sleep(MAX_KEY_WITHDRAWAL);
        assert_eq!(status(&fleet, "key-big", "/one/x"), 503, "{}", case.name);
        assert_eq!(status(&fleet, "nobody", "/one/x"), 503, "{}", case.name);
        assert_eq!(status(&fleet, "key-big", "/none/x"), 503, "{}", case.name);
        assert!(!fleet.daemons[0].is_ready(), "{}", case.name);
        let headers = [("host", "shop.example"), ("x-request-id", "open")];
        let address = fleet.daemons[0].caller_address;
        let open = Client::send_once(address, "GET", "/open/x", &headers, b"").expect("an answer");
        assert_eq!(open.status, 200, "{}", case.name);
        fleet.store.set_faults(RowStoreFaults::default());
        let recovered = eventually(Duration::from_secs(2), || {
            status(&fleet, "key-big", "/one/x") == 200
        });
        assert!(recovered, "{}: {}", case.name, fleet.daemons[0].log());
    }
}

#[test]
fn withdrawn_key_is_refused_on_an_open_connection() {
    let fleet = start(1);
    let address = fleet.daemons[0].caller_address;
    let mut client = Client::connect(address, Duration::from_secs(3)).expect("a connection");
    let headers = [
        ("host", "shop.example"),
        ("authorization", "Token key-big-2"),
        ("x-request-id", "kept"),
    ];
    let reply = client
        .send("GET", "/one/x", &headers, b"")
        .expect("an answer");
    assert_eq!(reply.status, 200);
    let mut cfg = configuration(2);
    cfg["tenants"]["big"]["apiKeys"] = serde_json::json!(["key-big"]);
    fleet.publish_configuration(&cfg);
    sleep(Duration::from_millis(500));
    let reply = client
        .send("GET", "/one/x", &headers, b"")
        .expect("an answer");
    assert_eq!(reply.status, 401);
}

#[test]
fn daemon_refuses_a_key_that_was_withdrawn_while_it_was_suspended() {
    let fleet = start(1);
    fleet.daemons[0].signal("STOP");
    let mut cfg = configuration(2);
    cfg["tenants"]["big"]["apiKeys"] = serde_json::json!(["key-big"]);
    fleet.publish_configuration(&cfg);
    sleep(MAX_KEY_WITHDRAWAL);
    fleet.daemons[0].signal("CONT");
    for _ in 0..20 {
        assert_ne!(status(&fleet, "key-big-2", "/one/x"), 200);
    }
}

struct BadRow {
    name: &'static str,
    table: &'static str,
    key: &'static str,
    value: &'static str,
}

const BAD_ROWS: [BadRow; 6] = [
    BadRow {
        name: "not JSON",
        table: "op",
        key: "config",
        value: "\u{1}\u{2}",
    },
    BadRow {
        name: "unknown service",
        table: "op",
        key: "config",
        value: r#"{"version":"00000009","routes":{"r":{"host":"shop.example","prefix":"/one/","type":"safe","backend":"none"}},"services":{}}"#,
    },
    BadRow {
        name: "other key",
        table: "op",
        key: "other",
        value: "{}",
    },
    BadRow {
        name: "empty entry",
        table: "servers",
        key: "i-x",
        value: "{}",
    },
    BadRow {
        name: "unknown state",
        table: "servers",
        key: "i-y",
        value: r#"{"backend":"one","addr":"127.0.0.1:1","zone":"a","slots":2,"state":"odd"}"#,
    },
    BadRow {
        name: "slots of another type",
        table: "servers",
        key: "i-z",
        value: r#"{"backend":"one","addr":"127.0.0.1:1","zone":"a","slots":"2","state":"ready"}"#,
    },
];

#[test]
fn invalid_rows_are_skipped_and_the_last_valid_ones_stay_in_effect() {
    let fleet = start(1);
    for row in &BAD_ROWS {
        fleet.store.put(row.table, row.key, row.value.as_bytes());
        let status = status(&fleet, "key-big", "/one/x");
        assert_eq!(status, 200, "{}", row.name);
    }
    sleep(Duration::from_secs(2));
    for i in 0..20 {
        let reply = fleet.request(0, "key-big", "POST", "/two/x", &format!("bad-{i}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    let log = fleet.daemons[0].log();
    assert!(log.contains("configuration skipped"));
    assert!(log.contains("target entry skipped"));
}

#[test]
fn older_configuration_is_ignored() {
    let fleet = start(1);
    fleet.publish_configuration(&configuration(5));
    sleep(Duration::from_millis(300));
    let mut old = configuration(3);
    old["routes"]
        .as_object_mut()
        .expect("routes")
        .remove("unsafe");
    fleet.publish_configuration(&old);
    sleep(Duration::from_millis(500));
    assert_eq!(status(&fleet, "key-big", "/two/x"), 200);
}

#[test]
fn change_takes_effect_after_the_store_discarded_its_history() {
    let fleet = start(1);
    fleet.store.set_faults(RowStoreFaults {
        down: true,
        ..RowStoreFaults::default()
    });
    let mut cfg = configuration(2);
    cfg["routes"]
        .as_object_mut()
        .expect("routes")
        .remove("unsafe");
    fleet.publish_configuration(&cfg);
    fleet.targets[0].register(&fleet.store, "draining");
    fleet.store.forget_history();
    fleet.store.set_faults(RowStoreFaults::default());
    let in_effect = eventually(Duration::from_secs(3), || {
        status(&fleet, "key-big", "/two/x") == 404
    });
    assert!(in_effect);
    sleep(Duration::from_secs(1));
    let before = fleet.targets[0].runs().len();
    for _ in 0..20 {
        assert_eq!(status(&fleet, "key-big", "/one/x"), 200);
    }
    assert_eq!(fleet.targets[0].runs().len(), before);
}

#[test]
fn reload_signal_does_not_stop_the_daemon() {
    let mut fleet = start(1);
    fleet.daemons[0].signal("HUP");
    sleep(Duration::from_millis(300));
    assert!(fleet.daemons[0].is_running());
    assert_eq!(status(&fleet, "key-big", "/one/x"), 200);
    assert!(fleet.daemons[0].log().contains("settings file is valid"));
}
