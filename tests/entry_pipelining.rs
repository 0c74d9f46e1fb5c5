//! Requests that are sent one behind the other on a connection, on the users' platform.

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use standins::{Client, EntryFleet};

/// Timeout of the callers.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

fn start() -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, 1).expect("the fleet starts")
}

fn connect(fleet: &EntryFleet) -> Client {
    Client::connect(fleet.daemons[0].caller_address, REPLY_TIMEOUT).expect("opens")
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nauthorization: Token key-big\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 5000\r\n\r\n"
    )
}

/// Guards against a caller that keeps a daemon busy with requests that are refused, sent without a
/// look at the responses.
#[test]
fn connection_whose_pipelined_requests_are_all_refused_is_closed() {
    struct Case {
        requests: usize,
        /// A request with a key follows each of these many refused ones.
        served_every: usize,
        closed: bool,
    }
    let cases = [
        Case {
            requests: 60,
            served_every: usize::MAX,
            closed: false,
        },
        Case {
            requests: 200,
            served_every: usize::MAX,
            closed: true,
        },
        Case {
            requests: 200,
            served_every: 20,
            closed: false,
        },
    ];
    let fleet = start();
    for case in &cases {
        let request = |i: usize| {
            let is_served = (i + 1) % case.served_every == 0;
            let path = if is_served { "/one/x" } else { "/none" };
            head("GET", path, &format!("r-{i}"))
        };
        let heads: String = (0..case.requests).map(request).collect();
        let last =
            head("GET", "/none", "last").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        let address = fleet.daemons[0].caller_address;
        let mut stream = TcpStream::connect(address).expect("opens");
        stream
            .set_read_timeout(Some(REPLY_TIMEOUT))
            .expect("is set");
        let all = format!("{heads}{last}");
        stream.write_all(all.as_bytes()).expect("is sent");
        let mut received = String::new();
        stream
            .read_to_string(&mut received)
            .expect("ends in an orderly way");
        let responses = received.matches("HTTP/1.1 ").count();
        let expected = if case.closed { 64 } else { case.requests + 1 };
        assert_eq!(responses, expected, "{} requests", case.requests);
    }
}

#[test]
fn responses_come_in_the_order_of_the_requests() {
    let fleet = start();
    for count in [2, 10, 100] {
        let mut client = connect(&fleet);
        let ids: Vec<String> = (0..count).map(|n| format!("order-{count}-{n}")).collect();
        let heads: String = ids.iter().map(|id| head("GET", "/one/x", id)).collect();
        client.write(heads.as_bytes()).expect("is sent");
        for id in &ids {
            let reply = client
                .read_reply("GET")
                .unwrap_or_else(|e| panic!("{id}: {e}"));
            assert_eq!((reply.status, reply.text()), (200, id.clone()));
        }
    }
}

#[test]
fn head_may_be_split_at_any_byte() {
    let fleet = start();
    let both = head("GET", "/one/x", "split-a") + &head("GET", "/one/x", "split-b");
    for at in (0..both.len()).step_by(7) {
        let mut client = connect(&fleet);
        client.write(&both.as_bytes()[..at]).expect("is sent");
        thread::sleep(Duration::from_millis(5));
        client.write(&both.as_bytes()[at..]).expect("is sent");
        for id in ["split-a", "split-b"] {
            let reply = client.read_reply("GET").expect("a response");
            assert_eq!(
                (reply.status, reply.text().as_str()),
                (200, id),
                "split at {at}"
            );
        }
    }
}

#[test]
fn unsafe_request_behind_safe_ones_runs_once() {
    let fleet = start();
    let mut client = connect(&fleet);
    let heads = head("GET", "/one/x", "mixed-0")
        + &head("GET", "/one/x", "mixed-1")
        + &head("POST", "/two/x", "mixed-2");
    client.write(heads.as_bytes()).expect("is sent");
    for id in ["mixed-0", "mixed-1", "mixed-2"] {
        let reply = client.read_reply("GET").expect("a response");
        assert_eq!(reply.text(), id);
    }
    assert_eq!(fleet.run_count("mixed-2"), 1);
}

#[test]
fn requests_behind_a_response_that_closes_do_not_run() {
    let fleet = start();
    let mut client = connect(&fleet);
    let closing =
        head("GET", "/one/x", "last").replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    let heads = closing + &head("GET", "/one/x", "behind-1") + &head("POST", "/two/x", "behind-2");
    client.write(heads.as_bytes()).expect("is sent");
    let reply = client.read_reply("GET").expect("a response");
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(
        client.read_to_eof().expect("closes"),
        0,
        "bytes behind the last response"
    );
    thread::sleep(Duration::from_millis(200));
    assert_eq!(fleet.run_count("behind-1") + fleet.run_count("behind-2"), 0);
}

#[test]
fn bare_line_feed_is_refused_at_once() {
    let fleet = start();
    let address = fleet.daemons[0].caller_address;
    for text in [
        "GET /one/x HTTP/1.1\n",
        "GET /one/x HTTP/1.1\r\nhost: shop.example\n",
        "GET /one/x HTTP/1.1\nhost: shop.example\n\n",
    ] {
        let mut stream = TcpStream::connect(address).expect("opens");
        stream
            .set_read_timeout(Some(REPLY_TIMEOUT))
            .expect("is set");
        let sent = Instant::now();
        stream.write_all(text.as_bytes()).expect("is sent");
        let mut reply = String::new();
        stream
            .read_to_string(&mut reply)
            .expect("a response, then the end");
        assert!(reply.starts_with("HTTP/1.1 400 "), "{text:?}: {reply}");
        assert!(
            sent.elapsed() < Duration::from_millis(1500),
            "{text:?}: waited for"
        );
    }
}
