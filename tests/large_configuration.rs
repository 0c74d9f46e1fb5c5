//! Distribution of a large configuration to the daemons of a data centre over narrow links.

use std::{cell::Cell, mem::ManuallyDrop, path::Path, rc::Rc, thread, time::Duration};

use bytes::Bytes;
use chervillug::{
    admission::AdmissionHandle,
    catalog::KeyHasher,
    clock::{Clock, SystemClock},
    follow::{
        ChangesHandler, ConfigurationSink, FollowedTable, LeavingReaders, MemberRow, MemberSink,
        ProofHandler, ReaderParts, ReaderSelector, ReaderTask, SharedReaderRole, SharedTables,
        StoreConnectivity, MEMBERS_TABLE,
    },
    metrics::Metrics,
    peer::{
        peer_server_task, FleetSecrets, MessageKind, PeerClient, PeerDirectory, PeerRouter,
        PeerServer,
    },
    platform,
    quota::SliceHolders,
    routing::ConfigurationView,
    store::StoredRow,
};
use monoio::{net::TcpListener, time::sleep, LegacyDriver, RuntimeBuilder};
use serde_json::{json, Value};
use standins::{configuration, free_address, EntryFleet, Link};

/// Daemons of the data centre.
const DAEMONS: usize = 31;
/// Bandwidth of each daemon's link, 10 Mbit/s.
const LINK_BYTES_PER_S: u32 = 1_250_000;
/// Routes that one version adds.
const NEW_ROUTES: usize = 1400;
/// Time after its acknowledgement within which a configuration must be in force.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(2500);
/// Age up to which keys count as fresh.
const MAX_KEY_AGE: Duration = Duration::from_millis(4400);
/// Time between two responses of the store to the reader.
const STORE_INTERVAL: Duration = Duration::from_millis(200);

/// One daemon's part in the replication of the tables.
struct Node {
    host: Rc<str>,
    view: ConfigurationView,
    tables: SharedTables,
    connectivity: StoreConnectivity,
    /// The daemon's link; bytes in both directions pass it.
    _link: Link,
}

fn row(key: &str, value: &[u8], version: u64) -> StoredRow {
    StoredRow {
        key: key.to_owned(),
        value: Some(Bytes::copy_from_slice(value)),
        version,
    }
}

/// Returns a configuration with [`NEW_ROUTES`] more routes, of `weight` each.
fn large_configuration(version: u64, weight: u32) -> Value {
    let mut cfg = configuration(version);
    let mut rng = fastrand::Rng::with_seed(7);
    let mut word = |n: usize| -> String { (0..n).map(|_| rng.alphanumeric()).collect() };
    for _ in 0..NEW_ROUTES {
        let (name, prefix) = (format!("r-{}", word(7)), format!("/{}/", word(8)));
        cfg["routes"][name.to_lowercase()] = json!({"host": "shop.example", "prefix": prefix,
            "type": "safe", "timeoutS": 1.0, "sloS": 0.5, "priority": 1, "attempts": 2,
            "backends": [{"backend": "one", "weight": weight}, {"backend": "two", "weight": 1}],
            "anonymous": false});
    }
    cfg
}

fn view() -> ConfigurationView {
    ConfigurationView::new(KeyHasher::new("secret"), MAX_KEY_AGE)
}

fn start_node(host: &str, members: &[StoredRow], link: Link, listener: TcpListener) -> Node {
    let (view, clock, metrics) = (view(), Rc::new(SystemClock), Rc::<Metrics>::default());
    let directory = PeerDirectory::new(host, &Default::default());
    let secrets = FleetSecrets::new(&["fleet secret".to_owned()]);
    let peers = PeerClient::new(secrets.clone(), directory.clone(), metrics.clone());
    let cfg = ConfigurationSink::new(
        view.clone(),
        platform::CONFIGURATION_KEY,
        platform::decode_configuration,
    );
    let table = |name, sink| Rc::new(FollowedTable::new(name, sink));
    let targets = ConfigurationSink::new(view.clone(), "", platform::decode_configuration);
    let tables = SharedTables {
        configuration: table(platform::CONFIGURATION_TABLE, Rc::new(cfg)),
        targets: table(platform::TARGETS_TABLE, Rc::new(targets)),
        members: table(
            MEMBERS_TABLE,
            Rc::new(MemberSink::new(directory, SliceHolders::default())),
        ),
    };
    let now = clock.now();
    tables.members.replace(members.to_vec(), 1.into(), now);
    tables.targets.replace(Vec::new(), 1.into(), now);
    let connectivity = StoreConnectivity::default();
    let role = SharedReaderRole::default();
    let admission = AdmissionHandle::new(
        view.clone(),
        role.clone(),
        peers.directory().clone(),
        metrics.clone(),
        clock.clone(),
    );
    let mut router = PeerRouter::default();
    let handler = ProofHandler {
        view: view.clone(),
        tables: tables.clone(),
        connectivity: connectivity.clone(),
        admission: admission.clone(),
        clock: clock.clone(),
    };
    router.register(MessageKind::Proof, Rc::new(handler));
    router.register(MessageKind::Changes, Rc::new(ChangesHandler::new(&tables)));
    let server = PeerServer {
        secrets,
        router,
        metrics: metrics.clone(),
    };
    monoio::spawn(peer_server_task(Rc::new(server), listener));
    let task = ReaderTask::new(ReaderParts {
        peers,
        data_centre: "a".to_owned(),
        view: view.clone(),
        tables: tables.clone(),
        connectivity: connectivity.clone(),
        role,
        leaving: LeavingReaders::new().1,
        admission,
        metrics: metrics.clone(),
        clock,
    });
    monoio::spawn(task.run());
    Node {
        host: Rc::from(host),
        view,
        tables,
        connectivity,
        _link: link,
    }
}

/// Starts all daemons, each behind a link of its own.
fn start_nodes() -> Vec<Node> {
    let mut links = Vec::new();
    let mut members = Vec::new();
    for i in 0..DAEMONS {
        let (public, own) = (free_address().unwrap(), free_address().unwrap());
        let link = Link::start(public, own).expect("a link");
        link.set_faults(|f| f.bytes_per_s = Some(LINK_BYTES_PER_S));
        let listener = TcpListener::bind(own).expect("bound");
        let member = MemberRow {
            data_centre: "a".to_owned(),
            address: public,
            leaving: false,
        };
        let host = format!("entry-{i}");
        members.push(row(&host, &serde_json::to_vec(&member).unwrap(), 1));
        links.push((host, link, listener));
    }
    let start =
        |(host, link, listener): (String, _, _)| start_node(&host, &members, link, listener);
    links.into_iter().map(start).collect()
}

/// Takes the place of the store for the reader: passes on the newest version, and proves that it is
/// the newest.
async fn feed_reader(reader: Rc<Node>, newest: Rc<Cell<Option<StoredRow>>>) {
    loop {
        let now = SystemClock.now();
        if let Some(row) = newest.take() {
            let version = row.version;
            reader
                .tables
                .configuration
                .apply(vec![row], (version - 1).into(), version.into(), now);
        }
        reader.connectivity.record_response(now);
        let store_time = now.as_duration();
        reader
            .view
            .update_freshness(|f| f.record_answer(now, now, store_time));
        sleep(STORE_INTERVAL).await;
    }
}

fn configuration_row(cfg: &Value, version: u64) -> StoredRow {
    let value = serde_json::to_vec(cfg).unwrap();
    row(platform::CONFIGURATION_KEY, &value, version)
}

fn run(test: impl std::future::Future<Output = ()>) {
    let mut runtime = ManuallyDrop::new(
        RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .expect("a runtime"),
    );
    runtime.block_on(test);
}

/// Starts all daemons with a small configuration; returns the reader and the others.
async fn start_fleet(newest: &Rc<Cell<Option<StoredRow>>>) -> (Rc<Node>, Vec<Rc<Node>>) {
    let mut nodes: Vec<Rc<Node>> = start_nodes().into_iter().map(Rc::new).collect();
    let hosts: Vec<Rc<str>> = nodes.iter().map(|node| node.host.clone()).collect();
    let first = ReaderSelector::default().select(&hosts, SystemClock.now())[0].clone();
    let reader = nodes
        .iter()
        .find(|node| node.host == first)
        .unwrap()
        .clone();
    let small = configuration_row(&configuration(4), 4);
    let now = SystemClock.now();
    reader
        .tables
        .configuration
        .replace(vec![small], 4.into(), now);
    monoio::spawn(feed_reader(reader.clone(), newest.clone()));
    nodes.retain(|node| node.host != first);
    sleep(Duration::from_secs(2)).await;
    for node in &nodes {
        assert_eq!(node.view.version(), 4, "{} before the change", node.host);
    }
    (reader, nodes)
}

#[test]
fn large_configuration_is_in_force_in_time_behind_narrow_links() {
    run(async {
        let newest = Rc::new(Cell::new(None));
        let (_reader, nodes) = start_fleet(&newest).await;

        newest.set(Some(configuration_row(&large_configuration(6, 1), 6)));
        sleep(Duration::from_secs(1)).await;
        newest.set(Some(configuration_row(&large_configuration(9, 3), 9)));
        sleep(PROPAGATION_LIMIT - Duration::from_secs(1)).await;
        let late = |version: u64| {
            let late = nodes.iter().filter(|node| node.view.version() < version);
            late.map(|node| node.host.to_string()).collect::<Vec<_>>()
        };
        assert_eq!(late(6), Vec::<String>::new(), "late with version 6");
        sleep(Duration::from_secs(1)).await;
        assert_eq!(late(9), Vec::<String>::new(), "late with version 9");
    });
}

/// Time in which each daemon polls the reader at least once.
const TWO_POLLS: Duration = Duration::from_millis(1500);

#[test]
fn proof_of_a_reader_that_cannot_pass_its_configuration_on_is_not_adopted() {
    run(async {
        let newest = Rc::new(Cell::new(None));
        let (reader, nodes) = start_fleet(&newest).await;
        let changed = configuration_row(&configuration(6), 6);
        let now = SystemClock.now();
        reader
            .tables
            .configuration
            .apply(vec![changed], 5.into(), 6.into(), now);
        reader.tables.configuration.invalidate();
        sleep(TWO_POLLS).await;
        let now = SystemClock.now();
        for node in nodes.iter().filter(|node| node.view.version() < 6) {
            let age = node.view.freshness().age(now).expect("a proof");
            assert!(age >= TWO_POLLS, "{} has a proof of {age:?}", node.host);
        }
    });
}

/// Bandwidth of the link to the store in the test of a single transfer, 2.4 Mbit/s: twice what one
/// copy needs to arrive in time.
const STORE_LINK_BYTES_PER_S: u32 = 300_000;

#[test]
fn large_configuration_is_read_from_the_store_over_a_narrow_link() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, 2).expect("the fleet starts");
    thread::sleep(Duration::from_secs(2));
    for link in &fleet.store_links {
        link.set_faults(|f| f.bytes_per_s = Some(STORE_LINK_BYTES_PER_S));
    }
    let mut cfg = large_configuration(6, 1);
    cfg["routes"]["added"] = json!({"host": "shop.example", "prefix": "/added/", "type": "safe",
        "timeoutS": 1.0, "sloS": 0.5, "priority": 1, "attempts": 2, "backend": "one",
        "anonymous": false});
    fleet.publish_configuration(&cfg);
    thread::sleep(PROPAGATION_LIMIT);
    for i in 0..2 {
        let reply = fleet.request(i, "key-big", "GET", "/added/x", "added");
        assert_eq!(reply.map_or(0, |r| r.status), 200, "daemon {i}");
    }
}
