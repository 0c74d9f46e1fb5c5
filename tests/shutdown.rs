//! Graceful shutdown of the real program under load.

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

/// Longest time for one step on a loaded machine.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the failing check to a late connection, well within the notice.
const LATE: Duration = Duration::from_millis(500);
/// Clients that keep their connection.
const KEPT_CLIENTS: usize = 12;
/// Clients that open a connection for each request.
const NEW_CLIENTS: usize = 4;

/// What the clients of one run share.
struct Load {
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    authorization: String,
    /// Whether the balancer sends new connections to the daemon.
    ready: AtomicBool,
    whole: AtomicUsize,
    cut_off: AtomicUsize,
}

impl Load {
    fn send(&self, client: &mut Client) -> bool {
        let headers = [("authorization", self.authorization.as_str())];
        match client.send("GET", "/catalogue/x?bytes=2000", &headers, b"") {
            Ok(reply) if reply.status == 200 && reply.complete => {
                self.whole.fetch_add(1, Ordering::SeqCst);
                reply.header("connection") != Some("close")
            }
            other => {
                eprintln!("cut off: {:?}", other.map(|r| (r.status, r.text())));
                self.cut_off.fetch_add(1, Ordering::SeqCst);
                false
            }
        }
    }

    fn connect(&self) -> Option<Client> {
        let client = Client::connect(self.caller_address, STEP_TIMEOUT);
        if client.is_err() {
            self.cut_off.fetch_add(1, Ordering::SeqCst);
        }
        client.ok()
    }

    /// Sends requests on one connection until an answer closes it.
    fn keep_connection(&self) {
        if let Some(mut client) = self.connect() {
            while self.send(&mut client) {}
        }
    }

    /// Sends each request on a connection of its own while the balancer allows it.
    fn open_connections(&self) {
        while self.ready.load(Ordering::SeqCst) {
            if let Some(mut client) = self.connect() {
                self.send(&mut client);
            }
        }
    }

    /// Plays the balancer until the check fails.
    fn balance(&self) {
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
        whole: AtomicUsize::new(0),
        cut_off: AtomicUsize::new(0),
    });
    let mut idle = load.connect().expect("a connection");
    assert!(load.send(&mut idle), "the connection stays open");
    let mut clients = vec![spawn(&load, Load::balance)];
    clients.extend((0..KEPT_CLIENTS).map(|_| spawn(&load, Load::keep_connection)));
    clients.extend((0..NEW_CLIENTS).map(|_| spawn(&load, Load::open_connections)));
    let busy = || load.whole.load(Ordering::SeqCst) > 100;
    assert!(env::eventually(STEP_TIMEOUT, busy), "no load");

    cluster.daemons[i].signal("TERM");
    let told = || !load.ready.load(Ordering::SeqCst);
    assert!(
        env::eventually(STEP_TIMEOUT, told),
        "the check does not fail"
    );
    thread::sleep(LATE);
    let mut late = load.connect().expect("accepted within the notice");
    assert!(!load.send(&mut late), "the answer closes");
    clients
        .into_iter()
        .for_each(|c| c.join().expect("a client"));
    let closed = || Client::connect(load.caller_address, STEP_TIMEOUT).is_err();
    assert!(env::eventually(STEP_TIMEOUT, closed), "still listening");
    assert!(
        !load.send(&mut idle),
        "the answer on an idle connection closes"
    );

    assert_eq!(cluster.daemons[i].wait_exit(STEP_TIMEOUT), Some(0));
    assert_eq!(load.cut_off.load(Ordering::SeqCst), 0, "requests cut off");
}

#[test]
fn shutdown_under_load_cuts_off_no_request() {
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
fn request_in_flight_ends_and_an_idle_connection_does_not_hold_the_exit() {
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
