//! Responses of hostile targets and what the real program relays to callers.

mod env;

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster, HostRow, Reply};

/// Timeout for one response, sufficient on a loaded host.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length of the methods used in these tests.
const MAX_METHOD_LEN: usize = 7;

/// The response that the caller receives.
enum Expected {
    /// A complete response with this status and body.
    Complete(u16, &'static str),
    /// A truncated response.
    Truncated,
    /// An error response of the proxy with this status and reason.
    Error(u16, &'static str),
}

struct Case {
    name: &'static str,
    method: &'static str,
    answer: &'static str,
    /// Whether the target closes the connection after its response.
    close: bool,
    expected: Expected,
}

const fn case(name: &'static str, answer: &'static str, close: bool, expected: Expected) -> Case {
    Case {
        name,
        method: "POST",
        answer,
        close,
        expected,
    }
}

const MALFORMED: Expected = Expected::Error(502, "target_malformed");

const CASES: [Case; 31] = [
    case("informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false, Expected::Complete(200, "ok")),
    case("switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, MALFORMED),
    case("204 with a length", "HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n", false, Expected::Complete(204, "")),
    case("304 with a length", "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", false, Expected::Complete(304, "")),
    case("until the close", "HTTP/1.1 200 OK\r\n\r\nwhole", true, Expected::Complete(200, "whole")),
    case("HTTP/1.0 until the close", "HTTP/1.0 200 OK\r\n\r\nwhole", true, Expected::Complete(200, "whole")),
    case("chunked", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Expected::Complete(200, "ok")),
    case("length and chunked", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, MALFORMED),
    case("two lengths", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok", false, MALFORMED),
    case("negative length", "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok", false, MALFORMED),
    case("identity", "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok", true, MALFORMED),
    case("chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", true, MALFORMED),
    case("garbage for a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", false, Expected::Truncated),
    case("chunk extension", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n2;x=y\r\nok\r\n0\r\n\r\n", false, Expected::Truncated),
    case("trailer", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: y\r\n\r\n", false, Expected::Truncated),
    case("short body", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", true, Expected::Error(502, "target_lost")),
    case("chunks without their end", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", true, Expected::Truncated),
    case("folded header", "HTTP/1.1 200 OK\r\nx: y\r\n z\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("header behind a bare line feed", "HTTP/1.1 200 OK\r\nx: y\nset-cookie: a=b\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("zero byte", "HTTP/1.1 200 OK\r\nx: \0\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("space before colon", "HTTP/1.1 200 OK\r\ncontent-length : 0\r\n\r\n", false, MALFORMED),
    case("another protocol", "ICY 200 OK\r\n\r\n", false, MALFORMED),
    case("status 000", "HTTP/1.1 000 Down\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("status below 100", "HTTP/1.1 099 Low\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("status above 599", "HTTP/1.1 600 High\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("highest status of three digits", "HTTP/1.1 999 High\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("status of four digits", "HTTP/1.1 2000 Long\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("status without digits", "HTTP/1.1 OK\r\ncontent-length: 2\r\n\r\nok", false, MALFORMED),
    case("nothing", "", true, Expected::Error(502, "target_lost")),
    case("forged outcome", "HTTP/1.1 200 OK\r\nchervillug-outcome: not-run\r\nconnection: chervillug-outcome\r\ncontent-length: 2\r\n\r\nok", false, Expected::Complete(200, "ok")),
    Case { name: "length for HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", close: false, expected: Expected::Complete(200, "") },
];

fn response_for(path: &str) -> (Vec<u8>, bool) {
    let n = path
        .rsplit('/')
        .next()
        .and_then(|n| n.parse::<usize>().ok());
    match n.and_then(|n| CASES.get(n)) {
        Some(case) => (case.answer.as_bytes().to_vec(), case.close),
        None if path.ends_with("double") => {
            let one = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
            (format!("{one}first{one}extra").into_bytes(), false)
        }
        None if path.ends_with("headers") => {
            let many: String = (0..97).map(|i| format!("x-{i}: y\r\n")).collect();
            (format!("HTTP/1.1 200 OK\r\n{many}\r\n").into_bytes(), false)
        }
        None if path.ends_with("long") => {
            let long = "y".repeat(40_000);
            (
                format!("HTTP/1.1 200 OK\r\nx: {long}\r\n\r\n").into_bytes(),
                false,
            )
        }
        None if path == "/mixed" => (
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nmixed".to_vec(),
            true,
        ),
        None => (
            b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nplain".to_vec(),
            false,
        ),
    }
}

fn serve(mut stream: TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while stream.read(&mut byte).is_ok_and(|n| n > 0) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut words = text.split(' ');
        let method = words.next().unwrap_or("");
        let (answer, close) = if method.len() > MAX_METHOD_LEN {
            // The head follows the rest of a body.
            response_for("/mixed")
        } else {
            response_for(words.next().unwrap_or(""))
        };
        head.clear();
        if stream.write_all(&answer).is_err() || close {
            return;
        }
    }
}

/// Starts a fleet whose service `raw` has one target, which selects its response by the path.
fn fleet() -> (Cluster, String) {
    let mut opts = env::options();
    opts.services.push(("raw".into(), 0));
    opts.settings = json!({"floor": 1.0});
    let cluster = env::start(opts);
    let listener = TcpListener::bind("127.0.0.1:0").expect("no local address");
    cluster.platform.put_host(HostRow {
        name: "raw-0".into(),
        data_centre: "hobart".into(),
        address: listener.local_addr().expect("no local address"),
        service: Some("raw".into()),
        slots: 64,
        leaving: false,
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream));
        }
    });
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let listed = env::eventually(Duration::from_secs(20), || {
        let reply = cluster.request(0, &key, "GET", "/raw/plain");
        reply.is_ok_and(|r| r.status == 200)
    });
    assert!(listed, "the target was not listed");
    (cluster, key)
}

fn check_reply(case: &Case, reply: &Reply) {
    match case.expected {
        Expected::Complete(status, body) => {
            assert_eq!(reply.status, status, "{}", case.name);
            assert_eq!(reply.text(), body, "{}", case.name);
            assert!(reply.complete, "{}", case.name);
            assert_eq!(
                reply.header("chervillug-outcome"),
                Some("answer"),
                "{}",
                case.name
            );
        }
        Expected::Truncated => {
            assert_eq!(reply.status, 200, "{}", case.name);
            assert!(!reply.complete, "{} looks complete", case.name);
        }
        Expected::Error(status, reason) => {
            assert_eq!(reply.status, status, "{}", case.name);
            assert_eq!(reply.json()["reason"], reason, "{}", case.name);
            assert_eq!(
                reply.header("chervillug-outcome"),
                Some("unknown"),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn hostile_responses_are_relayed_or_refused_correctly() {
    let (cluster, key) = fleet();
    for (n, case) in CASES.iter().enumerate() {
        let path = format!("/raw/{n}");
        let reply = cluster.request(0, &key, case.method, &path);
        check_reply(case, &reply.expect(case.name));
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("no response");
        assert_eq!(next.text(), "plain", "after {}", case.name);
    }
    for path in ["/raw/headers", "/raw/long"] {
        let reply = cluster.request(0, &key, "POST", path).expect("no response");
        assert_eq!(reply.json()["reason"], "target_malformed", "{path}");
    }
}

#[test]
fn surplus_response_reaches_no_caller() {
    let (cluster, key) = fleet();
    for _ in 0..10 {
        let first = cluster
            .request(0, &key, "GET", "/raw/double")
            .expect("no response");
        assert_eq!(first.text(), "first");
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("no response");
        assert_eq!(next.text(), "plain");
    }
}

#[test]
fn connection_with_an_unfinished_body_is_not_reused() {
    let (cluster, key) = fleet();
    let address = cluster.daemons[0].caller_address;
    for _ in 0..5 {
        let mut client = Client::connect(address, RESPONSE_TIMEOUT).expect("connect failed");
        let head = format!(
            "POST /raw/plain HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             content-length: 300000\r\n\r\n"
        );
        client
            .write(head.as_bytes())
            .expect("sending the head failed");
        client
            .write(&[b'x'; 100_000])
            .expect("sending a part of the body failed");
        let early = client
            .read_reply("POST")
            .expect("no response before the end of the body");
        assert_eq!(early.text(), "plain");
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("no response");
        assert_eq!(next.text(), "plain");
    }
}

#[test]
fn truncated_response_to_an_http_1_0_caller_ends_with_a_reset() {
    let (cluster, key) = fleet();
    for (n, case) in CASES.iter().enumerate() {
        if !matches!(case.expected, Expected::Truncated) {
            continue;
        }
        let address = cluster.daemons[0].caller_address;
        let mut client = Client::connect(address, RESPONSE_TIMEOUT).expect("connect failed");
        let head = format!("POST /raw/{n} HTTP/1.0\r\nauthorization: Bearer {key}\r\n\r\n");
        client
            .write(head.as_bytes())
            .expect("sending the request failed");
        let end = client.read_to_eof().expect_err(case.name);
        assert_eq!(end.kind(), ErrorKind::ConnectionReset, "{}", case.name);
    }
}
