//! End-to-end tests of edits and withdrawn keys in a fleet of processes, through outages, network
//! partitions, pauses and kills.

mod env;

use std::{
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use standins::{Client, Cluster, ClusterOptions};

/// The users' limit on the time until an accepted edit is in effect on all daemons.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(5);
/// Time limit for states to which none of the users' limits applies.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(40);
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

fn settled_count(status: &Value) -> usize {
    let members = status["members"].as_array();
    members.map_or(0, |m| m.iter().filter(|m| m["phase"] == "settled").count())
}

fn wait_for_members(cluster: &Cluster, count: usize) {
    let mut last = Value::Null;
    let joined = env::eventually(CONVERGENCE_TIMEOUT, || {
        last = status(cluster, 0);
        let all = last["members"].as_array().map_or(0, Vec::len);
        all == count && settled_count(&last) == count
    });
    assert!(joined, "members: {}", last["members"]);
}

/// Sends a request on an open connection, and returns the status of the response, 0 for none.
fn request_status(client: &mut Client, key: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let reply = client.send("GET", "/catalogue", &headers, b"");
    reply.map_or(0, |r| r.status)
}

fn open_connections(cluster: &Cluster, key: &str) -> Vec<Client> {
    let connect = |i: usize| {
        let address = cluster.daemons[i].caller_address;
        let mut client = Client::connect(address, Duration::from_secs(20)).expect("connected");
        assert_eq!(request_status(&mut client, key), 200, "daemon {i}");
        client
    };
    (0..cluster.daemons.len()).map(connect).collect()
}

fn only_key_hash(cluster: &Cluster, via: usize) -> Value {
    let keys = cluster.operator_request(via, "GET", "/keys", &Value::Null);
    keys.expect("the keys").json()[0]["hash"].clone()
}

fn withdraw(cluster: &Cluster, via: usize) -> Value {
    let hash = only_key_hash(cluster, via);
    let change = json!({"withdraw_key": {"hash": hash}});
    cluster.edit(via, &change).expect("an answer").json()
}

/// Asserts that each of `daemons` refuses the key before the limit has passed.
fn assert_withdrawn(clients: &mut [Client], daemons: &[usize], key: &str, since: Instant) {
    for i in daemons {
        let is_refused = |status: u16| status == 401 || status == 503;
        while !is_refused(request_status(&mut clients[*i], key)) {
            let late = since.elapsed() > PROPAGATION_LIMIT;
            assert!(!late, "daemon {i} still serves the withdrawn key");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn ready(cluster: &Cluster, i: usize) -> bool {
    status(cluster, i)["ready"] == true
}

#[test]
fn daemons_serve_through_an_outage_and_edits_reach_all_after_it() {
    let cluster = fleet(DAEMONS, false);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    cluster.platform.set_faults(|f| f.down = true);
    thread::sleep(PROPAGATION_LIMIT * 2);
    for i in 0..DAEMONS {
        let served = env::eventually(CONVERGENCE_TIMEOUT, || {
            cluster
                .request(i, &key, "GET", "/catalogue")
                .is_ok_and(|r| r.status == 200)
        });
        assert!(served, "daemon {i} does not serve during the outage");
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
    assert_withdrawn(&mut clients, &all, &key, accepted);
}

#[test]
fn withdrawn_key_is_refused_on_partitioned_hosts() {
    struct Case {
        name: &'static str,
        /// Daemons that cannot reach the platform.
        no_platform: &'static [usize],
        /// Pairs of groups whose traffic from the first to the second is lost.
        silent: &'static [(&'static [usize], &'static [usize])],
        /// Daemons that must keep serving other keys.
        serving: &'static [usize],
    }
    const ISOLATED: &[usize] = &[9, 10, 11];
    const REST: &[usize] = &[0, 1, 2, 3, 4, 5, 6, 7, 8];
    const MAJORITY: &[usize] = &[4, 5, 6, 7, 8, 9, 10, 11];
    const MINORITY: &[usize] = &[0, 1, 2, 3];
    let cases = [
        Case {
            name: "isolated group, outgoing traffic lost",
            no_platform: ISOLATED,
            silent: &[(ISOLATED, REST)],
            serving: REST,
        },
        Case {
            name: "isolated group, incoming traffic lost",
            no_platform: ISOLATED,
            silent: &[(REST, ISOLATED)],
            serving: REST,
        },
        Case {
            name: "majority without the platform",
            no_platform: MAJORITY,
            silent: &[],
            serving: &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11],
        },
        Case {
            name: "majority partitioned from the minority with the platform",
            no_platform: MAJORITY,
            silent: &[(MAJORITY, MINORITY), (MINORITY, MAJORITY)],
            serving: MINORITY,
        },
    ];
    let cluster = fleet(DAEMONS, true);
    for case in &cases {
        let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
        let mut clients = open_connections(&cluster, &key);
        set_partition(&cluster, case.no_platform, case.silent, true);
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
            assert_withdrawn(&mut clients, &all, &key, begin);
        }
        let is_serving = env::eventually(CONVERGENCE_TIMEOUT, || {
            case.serving.iter().all(|i| ready(&cluster, *i))
        });
        assert!(is_serving, "{}: not ready", case.name);
        set_partition(&cluster, case.no_platform, case.silent, false);
        let recovered = env::eventually(CONVERGENCE_TIMEOUT, || {
            (0..DAEMONS).all(|i| ready(&cluster, i))
        });
        assert!(recovered, "{}: not recovered", case.name);
    }
}

fn set_partition(
    cluster: &Cluster,
    no_platform: &[usize],
    silent: &[(&[usize], &[usize])],
    on: bool,
) {
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
fn host_refuses_a_withdrawn_key_when_it_resumes() {
    const SILENT: &[(&[usize], &[usize])] = &[(&[0, 1], &[2])];
    let cluster = fleet(3, true);
    for round in 0..2 {
        let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
        let mut clients = open_connections(&cluster, &key);
        cluster.daemons[2].signal("STOP");
        set_partition(&cluster, &[2], SILENT, true);
        let answer = withdraw(&cluster, 0);
        assert_eq!(answer["result"], "accepted", "round {round}: {answer}");
        thread::sleep(PROPAGATION_LIMIT);
        cluster.daemons[2].signal("CONT");
        let status = request_status(&mut clients[2], &key);
        assert!(status == 401 || status == 503, "round {round}: {status}");
        set_partition(&cluster, &[2], SILENT, false);
        assert!(env::eventually(CONVERGENCE_TIMEOUT, || ready(&cluster, 2)));
    }
}

#[test]
fn restarted_hosts_load_the_newest_revision() {
    let mut cluster = fleet(3, false);
    let key = env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    for round in 0..2 {
        for i in [1, 2] {
            cluster.daemons[i].restart().expect("restarted");
        }
        assert!(env::eventually(CONVERGENCE_TIMEOUT, || (0..3).all(|i| ready(&cluster, i))));
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
    assert!(env::eventually(CONVERGENCE_TIMEOUT, || (0..3).all(|i| ready(&cluster, i))));
    wait_for_members(&cluster, 3);
}

#[test]
fn host_that_starts_during_an_outage_loads_the_lists_from_peers() {
    let mut cluster = fleet(5, false);
    env::add_workspace(&cluster, "parish", 1e6, 1_000_000);
    cluster.platform.set_faults(|f| f.down = true);
    cluster.daemons[4].restart().expect("restarted");
    let is_ready = env::eventually(CONVERGENCE_TIMEOUT, || ready(&cluster, 4));
    assert!(is_ready, "{}", status(&cluster, 4));
    let revision = status(&cluster, 4)["revision"].clone();
    assert_eq!(revision, status(&cluster, 0)["revision"]);
}

#[test]
fn lost_response_never_applies_an_edit_twice() {
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
