//! Hostile requests against the real program, with the answer that each gets.

mod env;

use std::time::Duration;

use serde_json::json;
use standins::{Client, Cluster};

/// Longest time for one answer on a loaded machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// A second request that must never run.
const SMUGGLED: &str =
    "GET /catalogue/smuggled HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n\r\n";

/// One hostile request; `KEY` stands for a good key and `AUTH` for its header.
struct Case {
    name: &'static str,
    request: &'static str,
    status: u16,
    reason: &'static str,
}

const fn bad(name: &'static str, request: &'static str) -> Case {
    Case {
        name,
        request,
        status: 400,
        reason: "bad_request",
    }
}

const fn exposed(name: &'static str, request: &'static str) -> Case {
    Case {
        name,
        request,
        status: 400,
        reason: "key_exposed",
    }
}

const FRAMING: [Case; 23] = [
    bad("length and chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad("chunked and length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n"),
    bad("lengths that differ", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 5\r\ncontent-length: 0\r\n\r\n"),
    bad("lengths that agree", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0\r\ncontent-length: 0\r\n\r\n"),
    bad("list of lengths", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0, 0\r\n\r\n"),
    bad("length with a sign", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: +0\r\n\r\n"),
    bad("negative length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: -1\r\n\r\n"),
    bad("hexadecimal length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0x0\r\n\r\n"),
    bad("empty length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: \r\n\r\n"),
    bad("length out of range", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 18446744073709551616\r\n\r\n"),
    bad("identity", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: identity\r\n\r\n"),
    bad("identity before chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: identity, chunked\r\n\r\n0\r\n\r\n"),
    bad("chunked before identity", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n"),
    bad("unknown coding", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
    bad("repeated chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad("chunked in HTTP/1.0", "POST /catalogue HTTP/1.0\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad("chunk extension", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n"),
    bad("trailer", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nx: KEY\r\n\r\n"),
    bad("negative chunk", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n"),
    bad("chunk out of range", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n"),
    bad("chunk without its end", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\r\nxyz\r\n0\r\n\r\n"),
    bad("chunk line with a bare line feed", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\nx\n0\n\n"),
    bad("preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
];

const HEADS: [Case; 23] = [
    bad(
        "unknown expectation",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHexpect: x\r\n\r\n",
    ),
    bad(
        "bare line feed",
        "GET /catalogue HTTP/1.1\r\nhost: x\nAUTHx: y\r\n\r\n",
    ),
    bad(
        "bare carriage return",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: y\rz: 1\r\n\r\n",
    ),
    bad(
        "folded line",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: y\r\n z\r\n\r\n",
    ),
    bad(
        "space before colon",
        "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding : chunked\r\n\r\n",
    ),
    bad(
        "zero byte",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: \0\r\n\r\n",
    ),
    bad("no host", "GET /catalogue HTTP/1.1\r\nAUTHx: y\r\n\r\n"),
    bad(
        "two hosts",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nhost: y\r\nAUTH\r\n",
    ),
    bad(
        "absolute form",
        "GET http://x/catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "authority form",
        "CONNECT x:80 HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad("asterisk form", "OPTIONS * HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    bad(
        "path without slash",
        "GET catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad("trace", "TRACE /catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    bad(
        "encoded slash",
        "GET /catalogue/..%2Forders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "encoded dots",
        "GET /catalogue/%2e%2e/orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "encoded backslash",
        "GET /catalogue/..%5corders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "backslash",
        "GET /catalogue/..\\orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "dots with a parameter",
        "GET /catalogue/..;x/orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad(
        "empty segment",
        "GET /catalogue//orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    Case {
        name: "no key",
        request: "GET /catalogue HTTP/1.1\r\nhost: x\r\n\r\n",
        status: 401,
        reason: "key_missing",
    },
    Case {
        name: "two keys",
        request: "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHAUTH\r\n",
        status: 401,
        reason: "key_missing",
    },
    Case {
        name: "another scheme",
        request: "GET /catalogue HTTP/1.1\r\nhost: x\r\nauthorization: Basic KEY\r\n\r\n",
        status: 401,
        reason: "key_missing",
    },
    Case {
        name: "line feeds only",
        request: "GET /catalogue HTTP/1.1\nhost: x\n\n",
        status: 408,
        reason: "head_timeout",
    },
];

const KEYS: [Case; 12] = [
    exposed("key in the path", "GET /catalogue/KEY HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed("key in the query", "GET /catalogue?k=KEY HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed("encoded key in the path", "GET /catalogue/%63%6bTAIL HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed("key in a header", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx-key: KEY\r\n\r\n"),
    exposed("key in a header's name", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx-KEY: 1\r\n\r\n"),
    exposed("key in a cookie", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcookie: a=1; k=KEY\r\n\r\n"),
    exposed("key for another proxy", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHproxy-authorization: Bearer KEY\r\n\r\n"),
    exposed("key in a header named by connection", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHconnection: x-key\r\nx-key: KEY\r\n\r\n"),
    exposed("key as host", "GET /catalogue HTTP/1.1\r\nhost: KEY\r\nAUTH\r\n"),
    exposed("key in a body", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 53\r\n\r\n<KEY>"),
    exposed("key in a chunk", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n33\r\nKEY\r\n0\r\n\r\n"),
    exposed("key over two chunks", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n2\r\nck\r\n31\r\nTAIL\r\n0\r\n\r\n"),
];

fn fleet() -> Cluster {
    let mut opts = env::options();
    opts.settings = json!({"limits": {"head_ms": 400}});
    let cluster = env::start(opts);
    cluster
        .targets
        .iter()
        .for_each(standins::Target::record_received);
    cluster
}

fn fill_in(text: &str, key: &str) -> Vec<u8> {
    let auth = format!("authorization: Bearer {key}\r\n");
    let text = text.replace("AUTH", &auth).replace("KEY", key);
    text.replace("TAIL", &key[2..]).into_bytes()
}

fn connect(cluster: &Cluster) -> Client {
    let address = cluster.daemons[0].caller_address;
    Client::connect(address, ANSWER_TIMEOUT).expect("a connection")
}

fn received(cluster: &Cluster) -> Vec<u8> {
    cluster.targets.iter().flat_map(|t| t.received()).collect()
}

fn contains(bytes: &[u8], part: &str) -> bool {
    bytes.windows(part.len()).any(|w| w == part.as_bytes())
}

/// Sends each case on a connection of its own, with `behind` on its heels, and checks that it gets
/// its answer and that no target runs anything.
fn run(cases: &[Case], behind: &str) {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let runs = || {
        cluster
            .targets
            .iter()
            .map(standins::Target::runs)
            .sum::<usize>()
    };
    let before = runs();
    for case in cases {
        let mut client = connect(&cluster);
        let mut request = fill_in(case.request, &key);
        request.extend(fill_in(behind, &key));
        client.write(&request).expect("a request");
        let reply = client.read_reply("POST").expect(case.name);
        assert_eq!(reply.status, case.status, "{}", case.name);
        assert_eq!(reply.json()["reason"], case.reason, "{}", case.name);
        assert_eq!(
            reply.header("chervillug-outcome"),
            Some("not-run"),
            "{}",
            case.name
        );
    }
    assert!(!contains(&received(&cluster), &key), "a target saw the key");
    assert_eq!(runs(), before, "a refused or smuggled request ran");
}

#[test]
fn hostile_framing_is_refused_and_smuggles_nothing() {
    run(&FRAMING, SMUGGLED);
}

#[test]
fn hostile_heads_are_refused() {
    run(&HEADS, "");
}

#[test]
fn key_outside_its_header_is_refused() {
    run(&KEYS, "");
}

#[test]
fn refusal_of_head_request_carries_no_body() {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let mut client = connect(&cluster);
    let refused = "HEAD /elsewhere HTTP/1.1\r\nhost: x\r\nAUTH\r\n";
    let good = "GET /catalogue/next HTTP/1.1\r\nhost: x\r\nAUTH\r\n";
    client.write(&fill_in(refused, &key)).expect("a request");
    assert_eq!(client.read_reply("HEAD").expect("an answer").status, 404);
    client.write(&fill_in(good, &key)).expect("a request");
    let reply = client.read_reply("GET").expect("an answer");
    assert_eq!(reply.json()["path"], "/catalogue/next");
}

#[test]
fn forged_headers_reach_no_target() {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let mut client = connect(&cluster);
    let request = "GET /catalogue HTTP/1.1\r\nhost: kept-host\r\nAUTH\
        chervillug-workspace: forged\r\nChervillug_Workspace: forged\r\n\
        chervillug-request-id: forged\r\nCHERVILLUG-ANYTHING: forged\r\n\
        connection: host, chervillug-workspace, x-hop, content-length\r\nx-hop: forged\r\n\
        te: forged\r\nupgrade: forged\r\nkeep-alive: forged\r\nproxy-connection: forged\r\n\r\n";
    client.write(&fill_in(request, &key)).expect("a request");
    assert_eq!(client.read_reply("GET").expect("an answer").status, 200);
    let seen = received(&cluster);
    assert!(contains(&seen, "host: kept-host"));
    assert!(contains(&seen, "chervillug-workspace: parish"));
    for part in ["forged", "authorization", key.as_str()] {
        assert!(!contains(&seen, part), "a target saw {part}");
    }
}

#[test]
fn heads_over_their_limits_are_refused() {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let many: String = (0..97).map(|i| format!("x-{i}: y\r\n")).collect();
    let long = format!("x: {}\r\n", "y".repeat(20_000));
    for more in [many, long] {
        let mut client = connect(&cluster);
        let head = format!("GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTH{more}\r\n");
        client.write(&fill_in(&head, &key)).expect("a request");
        let reply = client.read_reply("GET").expect("an answer");
        assert_eq!(reply.json()["reason"], "head_too_large");
        assert_eq!(reply.status, 431);
    }
}

#[test]
fn head_without_end_is_refused_before_its_time_is_over() {
    let mut opts = env::options();
    opts.settings = json!({"limits": {"head_ms": 60_000}});
    let cluster = env::start(opts);
    let mut client = connect(&cluster);
    client
        .write(b"GET /catalogue HTTP/1.1\r\nx: ")
        .expect("a head");
    client.write(&[b'y'; 40_000]).expect("a head");
    let reply = client.read_reply("GET").expect("an answer");
    assert_eq!(reply.json()["reason"], "head_too_large");
}

#[test]
fn slow_head_is_bounded_from_its_first_byte() {
    let cluster = fleet();
    let mut client = connect(&cluster);
    std::thread::sleep(Duration::from_millis(600));
    let refused = (0..200).find_map(|_| {
        std::thread::sleep(Duration::from_millis(50));
        client.write(b"G").err().map(|_| ())
    });
    let reply = client.read_reply("GET");
    assert!(refused.is_some() || reply.is_ok_and(|r| r.status == 408));
}

#[test]
fn answer_to_an_unread_body_is_not_followed_by_a_reset() {
    let cluster = fleet();
    let body = vec![b'x'; 1 << 20];
    for _ in 0..5 {
        let mut client = connect(&cluster);
        let head = format!(
            "POST /catalogue HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        client.write(head.as_bytes()).expect("a head");
        client.write(&body).expect("a body that is taken in");
        let reply = client.read_reply("POST").expect("an answer");
        assert_eq!(reply.status, 401);
        assert_eq!(client.read_to_eof().expect("a clean end"), 0);
    }
}
