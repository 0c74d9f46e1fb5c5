//! Requests that arrive while an entry daemon shuts down in calm.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use serde_json::json;
use standins::{configuration, Client, EntryFleet, Reply, TargetBehaviour};

/// Time from the termination signal until the platform kills the process.
const GRACE: Duration = Duration::from_secs(6);
/// Interval between two requests.
const INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a request is refused that cannot end within the grace.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Timeout of the callers, longer than any request.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a daemon with routes of this timeout, and targets that work for `work` on each request.
fn start(route_timeout_s: f64, work: Duration) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    let fleet = EntryFleet::start(program, 1).expect("the fleet starts");
    for target in &fleet.targets {
        let entry = json!({
            "backend": target.service, "addr": target.address().to_string(), "zone": "a",
            "version": "v1", "slots": 500, "state": "ready", "warmupLeftS": 0, "seq": 2,
            "born": 1_700_000_000_000_u64,
        });
        fleet
            .store
            .put("servers", &target.id, entry.to_string().as_bytes());
        target.set_behaviour(TargetBehaviour::AnswersAfter(work));
    }
    let mut cfg = configuration(2);
    for route in ["safe", "unsafe"] {
        cfg["routes"][route]["timeoutS"] = route_timeout_s.into();
    }
    fleet.publish_configuration(&cfg);
    thread::sleep(Duration::from_secs(2));
    fleet
}

/// What became of one request.
struct Sent {
    id: String,
    sent_after: Duration,
    took: Duration,
    reply: std::io::Result<Reply>,
}

/// Opens `count` connections, stops the daemon, and sends one request on each of them, one every
/// [`INTERVAL`].
fn send_while_stopping(fleet: &mut EntryFleet, count: usize) -> Vec<Sent> {
    let address = fleet.daemons[0].caller_address;
    let connect = |_| Client::connect(address, REPLY_TIMEOUT).expect("opens");
    let clients: Vec<Client> = (0..count).map(connect).collect();
    thread::sleep(Duration::from_millis(200));
    fleet.daemons[0].signal("TERM");
    let stopped = Instant::now();
    let callers: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(n, client)| thread::spawn(move || send_one(n, client, stopped)))
        .collect();
    let code = fleet.daemons[0].wait_exit(GRACE.saturating_sub(stopped.elapsed()));
    assert_eq!(code, Some(0), "still running at the end of the grace");
    let sent = callers.into_iter().map(|c| c.join().expect("a caller"));
    sent.collect()
}

fn send_one(n: usize, mut client: Client, stopped: Instant) -> Sent {
    thread::sleep((INTERVAL * n as u32).saturating_sub(stopped.elapsed()));
    let (method, path) = if n % 2 == 0 {
        ("GET", "/one/x")
    } else {
        ("POST", "/two/x")
    };
    let id = format!("late-{n}");
    let headers = [
        ("host", "shop.example"),
        ("authorization", "Token key-big"),
        ("x-request-id", id.as_str()),
    ];
    let sent_after = stopped.elapsed();
    let reply = client.send(method, path, &headers, b"");
    Sent {
        sent_after,
        took: stopped.elapsed() - sent_after,
        reply,
        id,
    }
}

struct Case {
    name: &'static str,
    route_timeout_s: f64,
    work: Duration,
    /// Whether some of the requests end within the grace for sure.
    some_fit: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "half of the grace",
        route_timeout_s: 3.0,
        work: Duration::from_millis(2_700),
        some_fit: true,
    },
    Case {
        name: "short work, routes as long as the grace",
        route_timeout_s: 6.0,
        work: Duration::from_millis(5),
        some_fit: false,
    },
    Case {
        name: "long work, routes as long as the grace",
        route_timeout_s: 6.0,
        work: Duration::from_millis(5_000),
        some_fit: false,
    },
];

#[test]
fn every_request_of_the_grace_is_answered_or_refused_as_not_run() {
    for case in &CASES {
        let mut fleet = start(case.route_timeout_s, case.work);
        // Until the end of the grace, and a little longer.
        let count = (GRACE.as_millis() / INTERVAL.as_millis()) as usize + 10;
        let mut answered = 0;
        let mut refused = 0;
        for sent in send_while_stopping(&mut fleet, count) {
            let route_timeout = Duration::from_secs_f64(case.route_timeout_s);
            let runs = fleet.run_count(&sent.id);
            let name = format!(
                "{}: {} sent after {:?}",
                case.name, sent.id, sent.sent_after
            );
            match sent.reply {
                Ok(reply) => {
                    assert!(reply.complete, "{name}: truncated");
                    assert_eq!(reply.header("connection"), Some("close"), "{name}");
                    match reply.status {
                        200 => answered += 1,
                        503 => {
                            refused += 1;
                            assert_eq!(runs, 0, "{name}: refused, but run");
                            let fits = sent.sent_after + route_timeout <= GRACE;
                            assert!(fits || sent.took < MAX_REFUSAL_TIME, "{name}: held");
                        }
                        // Waiting for a free slot took so long that its route's timeout passed.
                        504 => assert!(sent.took >= route_timeout, "{name}: given up early"),
                        status => panic!("{name}: status {status}"),
                    }
                }
                // A request may cross the close of its connection if nothing of it was passed on.
                Err(e) => assert_eq!(runs, 0, "{name}: {e}, but run"),
            }
        }
        assert!(
            answered > 0 || !case.some_fit,
            "{}: {answered} answered",
            case.name
        );
        assert!(refused > 20, "{}: {refused} refused", case.name);
    }
}

#[test]
fn request_under_way_gets_an_answer_of_its_own_at_the_end_of_the_grace() {
    let mut fleet = start(20.0, Duration::from_secs(15));
    let address = fleet.daemons[0].caller_address;
    let caller = thread::spawn(move || {
        let client = Client::connect(address, REPLY_TIMEOUT).expect("opens");
        send_one(0, client, Instant::now())
    });
    thread::sleep(Duration::from_millis(500));
    fleet.daemons[0].signal("TERM");
    let reply = caller.join().expect("a caller").reply;
    let reply = reply.expect("an answer");
    assert!(
        [502, 504].contains(&reply.status),
        "status {}",
        reply.status
    );
    assert!(reply.complete);
    let code = fleet.daemons[0].wait_exit(GRACE);
    assert_eq!(code, Some(0));
}
