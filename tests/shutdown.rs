//! Graceful shutdown of a daemon under load.

mod env;

use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster};

/// Timeout for one step, sufficient on a loaded host.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay of a late connection after the failing readiness check, well within `notice_ms`.
const LATE_CONNECT_DELAY: Duration = Duration::from_millis(500);
/// Clients that reuse their connection.
const KEEP_ALIVE_CLIENTS: usize = 12;
/// Clients that open a new connection for each request.
const RECONNECTING_CLIENTS: usize = 4;

/// State shared by the clients of one run.
struct Load {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    authorization: String,
    /// Whether the simulated load balancer sends new connections to the daemon.
    ready: AtomicBool,
    completed: AtomicUsize,
    failed: AtomicUsize,
}

impl Load {
    fn send(&self, client: &mut Client) -> bool {
        let headers = [("authorization", self.authorization.as_str())];
        match client.send("GET", "/catalogue/x?bytes=2000", &headers, b"") {
            Ok(reply) if reply.status == 200 && reply.complete => {
                self.completed.fetch_add(1, Ordering::SeqCst);
                reply.header("connection") != Some("close")
            }
            other => {
                eprintln!(
                    "failed or truncated: {:?}",
                    other.map(|r| (r.status, r.text()))
                );
                self.failed.fetch_add(1, Ordering::SeqCst);
                false
            }
        }
    }

    fn connect(&self) -> Option<Client> {
        let client = Client::connect(self.caller_address, STEP_TIMEOUT);
        if client.is_err() {
            self.failed.fetch_add(1, Ordering::SeqCst);
        }
        client.ok()
    }

    /// Sends requests on one connection until an answer announces its end.
    fn run_keep_alive_client(&self) {
        if let Some(mut client) = self.connect() {
            while self.send(&mut client) {}
        }
    }

    /// Sends each request on a new connection while the load balancer allows new connections.
    fn run_reconnecting_client(&self) {
        while self.ready.load(Ordering::SeqCst) {
            if let Some(mut client) = self.connect() {
                self.send(&mut client);
            }
        }
    }

    /// Simulates the load balancer: polls the readiness check until it fails.
    fn run_load_balancer(&self) {
        let check = || Client::send_once(self.operator_address, "GET", "/ready", &[], b"");
        while check().is_ok_and(|r| r.status == 200) {
            thread::sleep(Duration::from_millis(50));
        }
        self.ready.store(false, Ordering::SeqCst);
    }
}

fn spawn(load: &Arc<Load>, work: fn(&Load)) -> JoinHandle<()> {
    let load = load.clone();
    thread::spawn(move || work(&load))
}

fn stop_under_load(cluster: &mut Cluster, i: usize, key: &str) {
    let load = Arc::new(Load {
        caller_address: cluster.daemons[i].caller_address,
        operator_address: cluster.daemons[i].operator_address,
        authorization: format!("Bearer {key}"),
        ready: AtomicBool::new(true),
        completed: AtomicUsize::new(0),
        failed: AtomicUsize::new(0),
    });
    let mut idle = load.connect().expect("a connection");
    assert!(
        load.send(&mut idle),
        "the daemon closed the connection before the shutdown"
    );
    let mut clients = vec![spawn(&load, Load::run_load_balancer)];
    clients.extend((0..KEEP_ALIVE_CLIENTS).map(|_| spawn(&load, Load::run_keep_alive_client)));
    clients.extend((0..RECONNECTING_CLIENTS).map(|_| spawn(&load, Load::run_reconnecting_client)));
    let busy = || load.completed.load(Ordering::SeqCst) > 100;
    assert!(
        env::eventually(STEP_TIMEOUT, busy),
        "the load did not start"
    );

    cluster.daemons[i].signal("TERM");
    let not_ready = || !load.ready.load(Ordering::SeqCst);
    assert!(
        env::eventually(STEP_TIMEOUT, not_ready),
        "the readiness check does not fail"
    );
    thread::sleep(LATE_CONNECT_DELAY);
    let mut late = load.connect().expect("accepted within the notice period");
    assert!(
        !load.send(&mut late),
        "the answer on a late connection does not close it"
    );
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    let closed = || Client::connect(load.caller_address, STEP_TIMEOUT).is_err();
    assert!(env::eventually(STEP_TIMEOUT, closed), "still listening");
    assert!(
        !load.send(&mut idle),
        "the answer on an idle connection does not close it"
    );

    assert_eq!(cluster.daemons[i].wait_exit(STEP_TIMEOUT), Some(0));
    assert_eq!(
        load.failed.load(Ordering::SeqCst),
        0,
        "failed or truncated requests"
    );
}

#[test]
fn shutdown_under_load_completes_all_requests() {
    let mut opts = env::options();
    opts.daemons = 2;
    opts.slots = 64;
    opts.work = Duration::from_millis(10);
    opts.settings = json!({"limits": {"notice_ms": 3000, "idle_grace_ms": 20_000}});
    let mut cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 100_000.0, 100_000);
    for i in 0..2 {
        stop_under_load(&mut cluster, i, &key);
    }
}

#[test]
fn shutdown_completes_requests_in_flight_and_does_not_wait_for_idle_connections() {
    let mut opts = env::options();
    opts.settings = json!({"limits": {"notice_ms": 100, "idle_grace_ms": 100}});
    let mut cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    cluster
        .targets
        .iter()
        .for_each(|t| t.set_faults(|f| f.slow_ms = 1500));
    let address = cluster.daemons[0].caller_address;
    let mut idle = Client::connect(address, STEP_TIMEOUT).expect("a connection");
    let runs = |cluster: &Cluster| cluster.targets.iter().map(|t| t.runs()).sum::<usize>();
    let before = runs(&cluster);
    let authorization = format!("Bearer {key}");
    let slow = thread::spawn(move || {
        let headers = [("authorization", authorization.as_str())];
        Client::send_once(address, "GET", "/catalogue/slow", &headers, b"")
    });
    assert!(env::eventually(STEP_TIMEOUT, || runs(&cluster) > before));
    cluster.daemons[0].signal("TERM");
    assert_eq!(cluster.daemons[0].wait_exit(STEP_TIMEOUT), Some(0));
    let reply = slow.join().expect("a client").expect("an answer");
    assert_eq!((reply.status, reply.complete), (200, true));
    assert_eq!(idle.read_to_eof().expect("a clean end"), 0);
}
