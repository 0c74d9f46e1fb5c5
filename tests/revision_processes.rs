//! Edits and withdrawn keys over a fleet of processes, through outages, cuts, pauses and kills.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{Client, Cluster, ClusterOptions};

/// The users' bound for an accepted edit to be in force everywhere.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5);
/// Longest time for a state to come about that no bound of the users covers.
const PATIENCE: Duration = Duration::from_secs(40);
const DAEMONS: usize = 12;

fn fleet(daemons: usize, links: bool) -> Cluster {
    let cluster = env::start(ClusterOptions {
        daemons,
        links,
        ..env::options()
    });
    wait_for_members(&cluster, daemons);
    cluster
}

fn status(cluster: &Cluster, i: usize) -> Value {
    cluster.daemons[i].status(cluster.operator_token())
}

fn settled(status: &Value) -> usize {
    let members = status["members"].as_array();
    members.map_or(0, |m| m.iter().filter(|m| m["phase"] == "settled").count())
}

fn wait_for_members(cluster: &Cluster, count: usize) {
    let mut last = Value::Null;
    let joined = env::eventually(PATIENCE, || {
        last = status(cluster, 0);
        let all = last["members"].as_array().map_or(0, Vec::len);
        all == count && settled(&last) == count
    });
    assert!(joined, "members: {}", last["members"]);
}

/// Answer of a daemon to a caller's request on an open connection: its status, 0 for none.
fn answer_on(client: &mut Client, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let reply = client.send("GET", "/catalogue", &headers, b"");
    reply.map_or(0, |r| r.status)
}

fn open_connections(cluster: &Cluster, key: &str) -> Vec<Client> {
    let connect = |i: usize| {
        let address = cluster.daemons[i].caller_address;
        let mut client = Client::connect(address, Duration::from_secs(20)).expect("connected");
        assert_eq!(answer_on(&mut client, key), 200, "daemon {i}");
        client
    };
    (0..cluster.daemons.len()).map(connect).collect()
}

fn hash_of_only_key(cluster: &Cluster, via: usize) -> Value {
    let keys = cluster.operator_request(via, "GET", "/keys", &Value::Null);
    keys.expect("the keys").json()[0]["hash"].clone()
}

fn withdraw(cluster: &Cluster, via: usize) -> Value {
    let hash = hash_of_only_key(cluster, via);
    let change = json!({"withdraw_key": {"hash": hash}});
    cluster.edit(via, &change).expect("an answer").json()
}

/// Asserts that no daemon of `daemons` runs a request with the key once the limit has passed.
fn assert_stops(clients: &mut [Client], daemons: &[usize], key: &str, since: Instant) {
    for i in daemons {
        let refused = |status: u16| status == 401 || status == 503;
        while !refused(answer_on(&mut clients[*i], key)) {
            let late = since.elapsed() > IN_FORCE_LIMIT;
            assert!(!late, "daemon {i} still serves the withdrawn key");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn ready(cluster: &Cluster, i: usize) -> bool {
    status(cluster, i)["ready"] == true
}

#[test]
fn edits_reach_all_and_an_outage_stops_nobody() {
    let cluster = fleet(DAEMONS, false);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(IN_FORCE_LIMIT * 2);
    for i in 0..DAEMONS {
        let served = env::eventually(PATIENCE, || {
            cluster
                .request(i, &key, "GET", "/catalogue")
                .is_ok_and(|r| r.status == 200)
        });
        assert!(served, "daemon {i} does not serve in the outage");
    }
    let change = json!({"remove_plan": {"workspace": "parish"}});
    let reply = cluster.edit(1, &change).expect("an answer");
    assert_eq!(reply.json()["result"], "unavailable");
    cluster.platform.set_faults(|f| f.down = false);
    let mut clients = open_connections(&cluster, &key);
    let answer = withdraw(&cluster, 2);
    let accepted = Instant::now();
    assert_eq!(answer["result"], "accepted", "{answer}");
    let all: Vec<usize> = (0..DAEMONS).collect();
    assert_stops(&mut clients, &all, &key, accepted);
}

#[test]
fn withdrawn_key_stops_on_cut_off_hosts() {
    struct Case {
        name: &'static str,
        /// Daemons that cannot reach the platform.
        no_platform: &'static [usize],
        /// Pairs of groups between which bytes vanish from the first to the second.
        silent: &'static [(&'static [usize], &'static [usize])],
        /// Daemons that must go on serving other keys.
        serving: &'static [usize],
    }
    const ISLAND: &[usize] = &[9, 10, 11];
    const REST: &[usize] = &[0, 1, 2, 3, 4, 5, 6, 7, 8];
    const MOST: &[usize] = &[4, 5, 6, 7, 8, 9, 10, 11];
    const FEW: &[usize] = &[0, 1, 2, 3];
    let cases = [
        Case {
            name: "island, bytes out of it vanish",
            no_platform: ISLAND,
            silent: &[(ISLAND, REST)],
            serving: REST,
        },
        Case {
            name: "island, bytes into it vanish",
            no_platform: ISLAND,
            silent: &[(REST, ISLAND)],
            serving: REST,
        },
        Case {
            name: "most hosts without the platform",
            no_platform: MOST,
            silent: &[],
            serving: &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
        },
        Case {
            name: "most hosts cut off from the few with the platform",
            no_platform: MOST,
            silent: &[(MOST, FEW), (FEW, MOST)],
            serving: FEW,
        },
    ];
    let cluster = fleet(DAEMONS, true);
    for case in &cases {
        let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
        let mut clients = open_connections(&cluster, &key);
        set_cuts(&cluster, case.no_platform, case.silent, true);
        let answer = withdraw(&cluster, 0);
        let begin = Instant::now();
        let result = &answer["result"];
        assert!(
            result == "accepted" || result == "pending",
            "{}: {answer}",
            case.name
        );
        if result == "accepted" {
            let all: Vec<usize> = (0..DAEMONS).collect();
            assert_stops(&mut clients, &all, &key, begin);
        }
        let serves = env::eventually(PATIENCE, || {
            case.serving.iter().all(|i| ready(&cluster, *i))
        });
        assert!(serves, "{}: not ready", case.name);
        set_cuts(&cluster, case.no_platform, case.silent, false);
        let healed = env::eventually(PATIENCE, || (0..DAEMONS).all(|i| ready(&cluster, i)));
        assert!(healed, "{}: not healed", case.name);
    }
}

fn set_cuts(cluster: &Cluster, no_platform: &[usize], silent: &[(&[usize], &[usize])], on: bool) {
    let hosts = no_platform.iter().map(|i| cluster.daemons[*i].host.clone());
    let hosts: Vec<String> = hosts.filter(|_| on).collect();
    cluster.platform.set_faults(|f| f.cut_off = hosts);
    for (from, to) in silent {
        for (a, b) in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            cluster.set_one_way_silence(a, b, on);
        }
    }
}

#[test]
fn paused_host_serves_no_withdrawn_key_when_it_wakes() {
    const SILENT: &[(&[usize], &[usize])] = &[(&[0, 1], &[2])];
    let cluster = fleet(3, true);
    for round in 0..2 {
        let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
        let mut clients = open_connections(&cluster, &key);
        cluster.daemons[2].signal("STOP");
        set_cuts(&cluster, &[2], SILENT, true);
        let answer = withdraw(&cluster, 0);
        assert_eq!(answer["result"], "accepted", "round {round}: {answer}");
        thread::sleep(IN_FORCE_LIMIT);
        cluster.daemons[2].signal("CONT");
        let status = answer_on(&mut clients[2], &key);
        assert!(status == 401 || status == 503, "round {round}: {status}");
        set_cuts(&cluster, &[2], SILENT, false);
        assert!(env::eventually(PATIENCE, || ready(&cluster, 2)));
    }
}

#[test]
fn killed_hosts_come_back_with_the_newest_revision() {
    let mut cluster = fleet(3, false);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    for round in 0..2 {
        for i in [1, 2] {
            cluster.daemons[i].restart().expect("restarted");
        }
        assert!(env::eventually(PATIENCE, || (0..3).all(|i| ready(&cluster, i))));
        wait_for_members(&cluster, 3);
        for i in 0..3 {
            let reply = cluster.request(i, &key, "GET", "/catalogue");
            assert_eq!(
                reply.expect("an answer").status,
                200,
                "round {round}: daemon {i}"
            );
        }
    }
    for i in 0..3 {
        cluster.daemons[i].restart().expect("restarted");
    }
    assert!(env::eventually(PATIENCE, || (0..3).all(|i| ready(&cluster, i))));
    wait_for_members(&cluster, 3);
}

#[test]
fn host_that_starts_in_an_outage_takes_the_lists_from_peers() {
    let mut cluster = fleet(5, false);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    cluster.platform.set_faults(|f| f.down = true);
    cluster.daemons[4].restart().expect("restarted");
    let served = env::eventually(PATIENCE, || ready(&cluster, 4));
    assert!(served, "{}", status(&cluster, 4));
    let catalogue = status(&cluster, 4)["revision"].clone();
    assert_eq!(catalogue, status(&cluster, 0)["revision"]);
    let _ = key;
}

#[test]
fn lost_answer_never_applies_an_edit_twice() {
    let cluster = fleet(1, false);
    for lost in 1..4 {
        let before = status(&cluster, 0)["revision"]
            .as_u64()
            .expect("a revision");
        cluster.platform.set_faults(|f| f.lose_write_answers = lost);
        let change = json!({"remove_plan": {"workspace": "none"}});
        let answer = cluster.edit(0, &change).expect("an answer").json();
        assert_eq!(answer["result"], "accepted", "{lost} lost: {answer}");
        assert_eq!(answer["revision"], before + 1, "{lost} lost");
        cluster.platform.set_faults(|f| f.lose_write_answers = 0);
        assert_eq!(status(&cluster, 0)["revision"], before + 1, "{lost} lost");
    }
}
