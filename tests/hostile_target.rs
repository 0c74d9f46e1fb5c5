//! Answers of hostile targets, and what callers get of them from the real program.

mod env;

use std::{
    io::{ErrorKind, Read, Write},
    net::{TcpListener, TcpStream},
    thread,
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster, HostRow, Reply};

/// Longest time for one answer on a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Most bytes of a method that callers send in these tests.
const MAX_METHOD_LEN: usize = 7;

/// What the caller gets.
enum Told {
    /// An answer with this status and body, whole.
    Whole(u16, &'static str),
    /// The beginning of an answer, cut off.
    CutOff,
    /// The fleet's own answer with this status and reason.
    Refused(u16, &'static str),
}

struct Case {
    name: &'static str,
    method: &'static str,
    answer: &'static str,
    /// Whether the target closes behind its answer.
    close: bool,
    told: Told,
}

const fn case(name: &'static str, answer: &'static str, close: bool, told: Told) -> Case {
    Case {
        name,
        method: "POST",
        answer,
        close,
        told,
    }
}

const MALFORMED: Told = Told::Refused(502, "target_malformed");

const CASES: [Case; 25] = [
    case("informational answers", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", false, Told::Whole(200, "ok")),
    case("switch of protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false, MALFORMED),
    case("204 with a length", "HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n", false, Told::Whole(204, "")),
    case("304 with a length", "HTTP/1.1 304 Not Modified\r\ncontent-length: 5\r\n\r\n", false, Told::Whole(304, "")),
    case("until the close", "HTTP/1.1 200 OK\r\n\r\nwhole", true, Told::Whole(200, "whole")),
    case("HTTP/1.0 until the close", "HTTP/1.0 200 OK\r\n\r\nwhole", true, Told::Whole(200, "whole")),
    case("chunked", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, Told::Whole(200, "ok")),
    case("length and chunked", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, MALFORMED),
    case("two lengths", "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok", false, MALFORMED),
    case("negative length", "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok", false, MALFORMED),
    case("identity", "HTTP/1.1 200 OK\r\ntransfer-encoding: identity\r\n\r\nok", true, MALFORMED),
    case("chunked in HTTP/1.0", "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n", true, MALFORMED),
    case("garbage for a chunk", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\nzz\r\nok\r\n0\r\n\r\n", false, Told::CutOff),
    case("chunk extension", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n2;x=y\r\nok\r\n0\r\n\r\n", false, Told::CutOff),
    case("trailer", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: y\r\n\r\n", false, Told::CutOff),
    case("short body", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort", true, Told::CutOff),
    case("chunks without their end", "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n", true, Told::CutOff),
    case("folded header", "HTTP/1.1 200 OK\r\nx: y\r\n z\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("header behind a bare line feed", "HTTP/1.1 200 OK\r\nx: y\nset-cookie: a=b\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("zero byte", "HTTP/1.1 200 OK\r\nx: \0\r\ncontent-length: 0\r\n\r\n", false, MALFORMED),
    case("space before colon", "HTTP/1.1 200 OK\r\ncontent-length : 0\r\n\r\n", false, MALFORMED),
    case("another protocol", "ICY 200 OK\r\n\r\n", false, MALFORMED),
    case("nothing", "", true, Told::Refused(502, "target_lost")),
    case("forged outcome", "HTTP/1.1 200 OK\r\nchervillug-outcome: not-run\r\nconnection: chervillug-outcome\r\ncontent-length: 2\r\n\r\nok", false, Told::Whole(200, "ok")),
    Case { name: "length for HEAD", method: "HEAD", answer: "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n", close: false, told: Told::Whole(200, "") },
];

fn answer_of(path: &str) -> (Vec<u8>, bool) {
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
            // The head stands behind the rest of a body.
            answer_of("/mixed")
        } else {
            answer_of(words.next().unwrap_or(""))
        };
        head.clear();
        if stream.write_all(&answer).is_err() || close {
            return;
        }
    }
}

/// Starts a fleet whose service `raw` has one target, which answers as the path says.
fn fleet() -> (Cluster, String) {
    let mut opts = env::options();
    opts.services.push(("raw".into(), 0));
    opts.settings = json!({"floor": 1.0});
    let cluster = env::start(opts);
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    cluster.platform.put_host(HostRow {
        name: "raw-0".into(),
        data_centre: "hobart".into(),
        address: listener.local_addr().expect("an address"),
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
    assert!(listed, "the target is not listed");
    (cluster, key)
}

fn check(case: &Case, reply: &Reply) {
    match case.told {
        Told::Whole(status, body) => {
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
        Told::CutOff => {
            assert_eq!(reply.status, 200, "{}", case.name);
            assert!(!reply.complete, "{} looks whole", case.name);
        }
        Told::Refused(status, reason) => {
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
fn callers_learn_the_truth_about_hostile_answers() {
    let (cluster, key) = fleet();
    for (n, case) in CASES.iter().enumerate() {
        let path = format!("/raw/{n}");
        let reply = cluster.request(0, &key, case.method, &path);
        check(case, &reply.expect(case.name));
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("an answer");
        assert_eq!(next.text(), "plain", "behind {}", case.name);
    }
    for path in ["/raw/headers", "/raw/long"] {
        let reply = cluster.request(0, &key, "POST", path).expect("an answer");
        assert_eq!(reply.json()["reason"], "target_malformed", "{path}");
    }
}

#[test]
fn answer_behind_an_answer_reaches_nobody() {
    let (cluster, key) = fleet();
    for _ in 0..10 {
        let first = cluster
            .request(0, &key, "GET", "/raw/double")
            .expect("an answer");
        assert_eq!(first.text(), "first");
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("an answer");
        assert_eq!(next.text(), "plain");
    }
}

#[test]
fn connection_with_the_rest_of_a_body_serves_nobody_else() {
    let (cluster, key) = fleet();
    let address = cluster.daemons[0].caller_address;
    for _ in 0..5 {
        let mut client = Client::connect(address, ANSWER_TIMEOUT).expect("a connection");
        let head = format!(
            "POST /raw/plain HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             content-length: 300000\r\n\r\n"
        );
        client.write(head.as_bytes()).expect("a head");
        client.write(&[b'x'; 100_000]).expect("a part of the body");
        let early = client
            .read_reply("POST")
            .expect("an answer before the end of the body");
        assert_eq!(early.text(), "plain");
        let next = cluster
            .request(0, &key, "GET", "/raw/plain")
            .expect("an answer");
        assert_eq!(next.text(), "plain");
    }
}

#[test]
fn cut_off_answer_to_an_old_caller_ends_with_a_reset() {
    let (cluster, key) = fleet();
    for (n, case) in CASES.iter().enumerate() {
        if !matches!(case.told, Told::CutOff) {
            continue;
        }
        let address = cluster.daemons[0].caller_address;
        let mut client = Client::connect(address, ANSWER_TIMEOUT).expect("a connection");
        let head = format!("POST /raw/{n} HTTP/1.0\r\nauthorization: Bearer {key}\r\n\r\n");
        client.write(head.as_bytes()).expect("a request");
        let end = client.read_to_eof().expect_err(case.name);
        assert_eq!(end.kind(), ErrorKind::ConnectionReset, "{}", case.name);
    }
}
