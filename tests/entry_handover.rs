//! Planned replacement of all daemons of a fleet, one after the other, under load.

use std::{
    net::SocketAddr,
    path::Path,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, sleep, JoinHandle},
    time::{Duration, Instant},
};

use chervillug::quota::LeaseHolder;
use serde_json::json;
use standins::{configuration, Client, EntryFleet};

/// Daemons in both data centres together.
const DAEMONS: usize = 6;
/// Rate and burst of the workspace `tight`, and the requests that it sends per second. The slice of
/// one data centre alone carries 20 per second of them.
const RATE: u64 = 40;
const BURST: u64 = 10;
const SENT_PER_S: u64 = 28;
/// Number of clients that send them.
const CLIENTS: u64 = 4;
/// Time after SIGTERM for which the load balancer still sends requests to a daemon.
const BALANCER_DELAY: Duration = Duration::from_millis(300);
/// Time until a daemon that held a slice is started again, as its host would acquire the lease at
/// once.
const HOLDER_DOWNTIME: Duration = Duration::from_secs(4);
/// Limit on the time until a daemon has exited, and until it serves again.
const STEP_TIMEOUT: Duration = Duration::from_secs(10);
/// Shutdown time in the settings of the daemons.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(6);
/// Limit on the time without a holder if a slice is not handed over.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(15);
/// Rate and burst of the workspace `small`, which sends more than its plan, with the operator's
/// window and slack.
const SMALL_RATE: f64 = 4.0;
const SMALL_BURST: f64 = 4.0;
const WINDOW: Duration = Duration::from_secs(5);
const SLACK: f64 = 20.0;

/// The load balancer and the responses that it has seen.
struct Load {
    addresses: Vec<SocketAddr>,
    in_service: Vec<AtomicBool>,
    stopped: AtomicBool,
    started: Instant,
    /// Time, daemon, status and reason of each response other than 200.
    rejected: Mutex<Vec<(Duration, usize, u16, String)>>,
    served: Mutex<Vec<Instant>>,
}

impl Load {
    fn send(&self, i: usize, key: &str, id: &str) -> Option<(u16, String)> {
        let token = format!("Token {key}");
        let headers = [
            ("host", "shop.example"),
            ("authorization", token.as_str()),
            ("x-request-id", id),
            ("x-deadline-ms", "2000"),
        ];
        let reply = Client::send_once(self.addresses[i], "GET", "/one/x", &headers, b"").ok()?;
        Some((reply.status, reply.text()))
    }

    /// Sends requests of one client, evenly spaced, to the daemons in service in turn.
    fn run_client(&self, client: u64, key: &str, pause: Duration) -> u64 {
        let mut sent = 0;
        let mut i = client as usize;
        let mut next = Instant::now() + pause.mul_f64(client as f64 / CLIENTS as f64);
        while !self.stopped.load(Ordering::SeqCst) {
            sleep(next.saturating_duration_since(Instant::now()));
            next += pause;
            i = (i + 1) % DAEMONS;
            while !self.in_service[i].load(Ordering::SeqCst) {
                i = (i + 1) % DAEMONS;
            }
            sent += 1;
            let response = self.send(i, key, &format!("r-{client}-{sent}"));
            let (status, text) = response.unwrap_or_default();
            if status == 200 {
                self.served.lock().expect("poisoned").push(Instant::now());
            } else {
                let rejection = (self.started.elapsed(), i, status, text);
                self.rejected.lock().expect("poisoned").push(rejection);
            }
        }
        sent
    }
}

fn start_load(fleet: &EntryFleet) -> Arc<Load> {
    Arc::new(Load {
        addresses: fleet.daemons.iter().map(|d| d.caller_address).collect(),
        in_service: (0..DAEMONS).map(|_| AtomicBool::new(true)).collect(),
        stopped: AtomicBool::new(false),
        started: Instant::now(),
        rejected: Mutex::default(),
        served: Mutex::default(),
    })
}

fn spawn(load: &Arc<Load>, client: u64, key: &'static str, pause: Duration) -> JoinHandle<u64> {
    let load = load.clone();
    thread::spawn(move || load.run_client(client, key, pause))
}

/// Returns whether a daemon holds the slice of a data centre according to the store.
fn is_holder(fleet: &EntryFleet, i: usize) -> bool {
    let rows = ["a", "b"].map(|centre| fleet.store.get("slices", centre));
    let holders = rows.iter().flatten();
    let holders = holders.map(|r| serde_json::from_slice::<LeaseHolder>(r).expect("unreadable"));
    holders.into_iter().any(|h| h.host == fleet.daemons[i].host)
}

/// Replaces a daemon as the platform does: SIGTERM, and a new process some time after its exit.
fn replace(fleet: &mut EntryFleet, load: &Load, i: usize) {
    let downtime = if is_holder(fleet, i) {
        HOLDER_DOWNTIME
    } else {
        Duration::ZERO
    };
    fleet.daemons[i].signal("TERM");
    sleep(BALANCER_DELAY);
    load.in_service[i].store(false, Ordering::SeqCst);
    let code = fleet.daemons[i].wait_exit(STEP_TIMEOUT);
    assert_eq!(code, Some(0), "daemon {i} did not exit");
    sleep(downtime);
    fleet.daemons[i].restart().expect("not restarted");
    let end = Instant::now() + STEP_TIMEOUT;
    while !fleet.daemons[i].is_ready() {
        assert!(Instant::now() < end, "daemon {i} does not serve again");
        sleep(Duration::from_millis(50));
    }
    load.in_service[i].store(true, Ordering::SeqCst);
}

fn max_in_window(served: &[Instant]) -> usize {
    let in_window = |from: &Instant| {
        let end = *from + WINDOW;
        served.iter().filter(|t| **t >= *from && **t < end).count()
    };
    served.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against the rejection of requests within plan (429 for 6 s after each holder of a slice
/// has stopped), and against a slice that two daemons count.
#[test]
fn no_request_within_plan_is_rejected_while_daemons_are_replaced() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, DAEMONS).expect("no fleet");
    let mut cfg = configuration(2);
    cfg["tenants"]["tight"] =
        json!({"apiKeys": ["key-tight"], "priority": 1, "ratePerS": RATE, "burst": BURST});
    fleet.publish_configuration(&cfg);
    sleep(Duration::from_secs(3));

    let load = start_load(&fleet);
    let pause = Duration::from_millis(1000 * CLIENTS / SENT_PER_S);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| spawn(&load, client, "key-tight", pause))
        .collect();
    let greedy = start_load(&fleet);
    let greedy_client = spawn(&greedy, 0, "key-small", Duration::from_millis(20));
    sleep(Duration::from_secs(1));
    for i in 0..DAEMONS {
        greedy.in_service[i].store(false, Ordering::SeqCst);
        replace(&mut fleet, &load, i);
        greedy.in_service[i].store(true, Ordering::SeqCst);
    }
    sleep(Duration::from_secs(1));
    for load in [&load, &greedy] {
        load.stopped.store(true, Ordering::SeqCst);
    }
    let sent: u64 = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .sum();
    greedy_client.join().expect("a client");

    let logs: String = fleet.daemons.iter().map(|d| d.log()).collect();
    let handovers = logs.matches("slice handed over").count();
    let rejected = load.rejected.lock().expect("poisoned");
    println!(
        "{sent} requests, {} rejected, {handovers} handovers",
        rejected.len()
    );
    assert!(sent > 200, "only {sent} requests sent");
    assert!(
        rejected.is_empty(),
        "{} of {sent}: {rejected:?}",
        rejected.len()
    );
    assert!(handovers >= 2, "{handovers} handovers");
    let served = greedy.served.lock().expect("poisoned");
    let allowed = (SMALL_RATE * WINDOW.as_secs_f64() + SMALL_BURST) * 1.1 + SLACK;
    let max = max_in_window(&served);
    println!("{max} requests in one window, {allowed} allowed");
    assert!(
        max as f64 <= allowed,
        "{max} in one window, {allowed} allowed"
    );
}

/// Returns the daemon that holds the slice of data centre `a`, and the others there.
fn holder_and_others(fleet: &EntryFleet) -> (usize, Vec<usize>) {
    let daemons: Vec<usize> = (0..DAEMONS).step_by(2).collect();
    let (holders, others): (Vec<_>, Vec<_>) =
        daemons.into_iter().partition(|i| is_holder(fleet, *i));
    (holders[0], others)
}

/// Stops daemon `i` and returns whether it handed its slice over.
fn stop(fleet: &mut EntryFleet, i: usize) -> bool {
    fleet.daemons[i].signal("TERM");
    let code = fleet.daemons[i].wait_exit(SHUTDOWN_LIMIT);
    assert_eq!(code, Some(0), "daemon {i} did not exit in time");
    fleet.daemons[i].log().contains("slice handed over")
}

/// Guards against a handover that ends at a daemon that does not respond.
#[test]
fn slice_is_handed_over_past_a_suspended_daemon() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, DAEMONS).expect("no fleet");
    sleep(Duration::from_secs(3));
    let (holder, others) = holder_and_others(&fleet);
    fleet.daemons[others[0]].signal("STOP");
    assert!(stop(&mut fleet, holder), "not handed over");
    assert!(is_holder(&fleet, others[1]));
    fleet.daemons[others[0]].signal("CONT");
}

/// Guards against a shutdown that takes too long or a slice that is lost for good when no successor
/// can write the lease row, and against a successor that counts the slice all the same.
#[test]
fn lease_expires_if_no_successor_reaches_the_store() {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let mut fleet = EntryFleet::start(program, DAEMONS).expect("no fleet");
    sleep(Duration::from_secs(3));
    let (holder, others) = holder_and_others(&fleet);
    for i in &others {
        fleet.store_links[*i].set_faults(|f| f.cut = true);
    }
    assert!(!stop(&mut fleet, holder), "handed over");
    for i in &others {
        assert!(!is_holder(&fleet, *i));
        assert!(!fleet.daemons[*i].log().contains("slice taken"));
        fleet.store_links[*i].set_faults(|f| f.cut = false);
    }
    let end = Instant::now() + TAKEOVER_LIMIT;
    while !others.iter().any(|i| is_holder(&fleet, *i)) {
        assert!(Instant::now() < end, "the slice has no holder");
        sleep(Duration::from_millis(100));
    }
}
