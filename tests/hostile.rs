//! Hostile requests to the real program and the response to each.

mod env;

use std::time::Duration;

use serde_json::json;
use standins::{Client, Cluster};

/// Timeout for one response, sufficient on a loaded host.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// A smuggled request, which must never run.
const SMUGGLED: &str =
    "GET /catalogue/smuggled HTTP/1.1\r\nhost: x\r\nauthorization: Bearer KEY\r\n\r\n";

/// One hostile request; `KEY` is replaced by a valid key, `TAIL` by the key without its first two
/// bytes, and `AUTH` by the header with the key.
struct Case {
    name: &'static str,
    request: &'static str,
    status: u16,
    reason: &'static str,
}

const fn bad_request(name: &'static str, request: &'static str) -> Case {
    Case {
        name,
        request,
        status: 400,
        reason: "bad_request",
    }
}

const fn exposed_key(name: &'static str, request: &'static str) -> Case {
    Case {
        name,
        request,
        status: 400,
        reason: "key_exposed",
    }
}

const FRAMING: [Case; 23] = [
    bad_request("length and chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad_request("chunked and length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n"),
    bad_request("lengths that differ", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 5\r\ncontent-length: 0\r\n\r\n"),
    bad_request("lengths that agree", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0\r\ncontent-length: 0\r\n\r\n"),
    bad_request("list of lengths", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0, 0\r\n\r\n"),
    bad_request("length with a sign", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: +0\r\n\r\n"),
    bad_request("negative length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: -1\r\n\r\n"),
    bad_request("hexadecimal length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 0x0\r\n\r\n"),
    bad_request("empty length", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: \r\n\r\n"),
    bad_request("length out of range", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 18446744073709551616\r\n\r\n"),
    bad_request("identity", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: identity\r\n\r\n"),
    bad_request("identity before chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: identity, chunked\r\n\r\n0\r\n\r\n"),
    bad_request("chunked before identity", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ntransfer-encoding: identity\r\n\r\n0\r\n\r\n"),
    bad_request("unknown coding", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: xchunked\r\n\r\n0\r\n\r\n"),
    bad_request("repeated chunked", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad_request("chunked in HTTP/1.0", "POST /catalogue HTTP/1.0\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
    bad_request("chunk extension", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1;a=b\r\nx\r\n0\r\n\r\n"),
    bad_request("trailer", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nx: KEY\r\n\r\n"),
    bad_request("negative chunk", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n"),
    bad_request("chunk out of range", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\nx\r\n0\r\n\r\n"),
    bad_request("chunk without its end", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\r\nxyz\r\n0\r\n\r\n"),
    bad_request("chunk line with a bare line feed", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n1\nx\n0\n\n"),
    bad_request("preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
];

const HEADS: [Case; 23] = [
    bad_request(
        "unknown expectation",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHexpect: x\r\n\r\n",
    ),
    bad_request(
        "bare line feed",
        "GET /catalogue HTTP/1.1\r\nhost: x\nAUTHx: y\r\n\r\n",
    ),
    bad_request(
        "bare carriage return",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: y\rz: 1\r\n\r\n",
    ),
    bad_request(
        "folded line",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: y\r\n z\r\n\r\n",
    ),
    bad_request(
        "space before colon",
        "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding : chunked\r\n\r\n",
    ),
    bad_request(
        "zero byte",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx: \0\r\n\r\n",
    ),
    bad_request("no host", "GET /catalogue HTTP/1.1\r\nAUTHx: y\r\n\r\n"),
    bad_request(
        "two hosts",
        "GET /catalogue HTTP/1.1\r\nhost: x\r\nhost: y\r\nAUTH\r\n",
    ),
    bad_request(
        "absolute form",
        "GET http://x/catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
        "authority form",
        "CONNECT x:80 HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request("asterisk form", "OPTIONS * HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    bad_request(
        "path without slash",
        "GET catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request("trace", "TRACE /catalogue HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    bad_request(
        "encoded slash",
        "GET /catalogue/..%2Forders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
        "encoded dots",
        "GET /catalogue/%2e%2e/orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
        "encoded backslash",
        "GET /catalogue/..%5corders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
        "backslash",
        "GET /catalogue/..\\orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
        "dots with a parameter",
        "GET /catalogue/..;x/orders HTTP/1.1\r\nhost: x\r\nAUTH\r\n",
    ),
    bad_request(
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
    bad_request("line feeds only", "GET /catalogue HTTP/1.1\nhost: x\n\n"),
];

const KEYS: [Case; 12] = [
    exposed_key("key in the path", "GET /catalogue/KEY HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed_key("key in the query", "GET /catalogue?k=KEY HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed_key("encoded key in the path", "GET /catalogue/%63%6bTAIL HTTP/1.1\r\nhost: x\r\nAUTH\r\n"),
    exposed_key("key in a header", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx-key: KEY\r\n\r\n"),
    exposed_key("key in a header's name", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHx-KEY: 1\r\n\r\n"),
    exposed_key("key in a cookie", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcookie: a=1; k=KEY\r\n\r\n"),
    exposed_key("key for another proxy", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHproxy-authorization: Bearer KEY\r\n\r\n"),
    exposed_key("key in a header named by connection", "GET /catalogue HTTP/1.1\r\nhost: x\r\nAUTHconnection: x-key\r\nx-key: KEY\r\n\r\n"),
    exposed_key("key as host", "GET /catalogue HTTP/1.1\r\nhost: KEY\r\nAUTH\r\n"),
    exposed_key("key in a body", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHcontent-length: 53\r\n\r\n<KEY>"),
    exposed_key("key in a chunk", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n33\r\nKEY\r\n0\r\n\r\n"),
    exposed_key("key over two chunks", "POST /catalogue HTTP/1.1\r\nhost: x\r\nAUTHtransfer-encoding: chunked\r\n\r\n2\r\nck\r\n31\r\nTAIL\r\n0\r\n\r\n"),
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

fn expand(text: &str, key: &str) -> Vec<u8> {
    let auth = format!("authorization: Bearer {key}\r\n");
    let text = text.replace("AUTH", &auth).replace("KEY", key);
    text.replace("TAIL", &key[2..]).into_bytes()
}

fn connect(cluster: &Cluster) -> Client {
    let address = cluster.daemons[0].caller_address;
    Client::connect(address, RESPONSE_TIMEOUT).expect("connect failed")
}

fn received(cluster: &Cluster) -> Vec<u8> {
    cluster.targets.iter().flat_map(|t| t.received()).collect()
}

fn contains(bytes: &[u8], part: &str) -> bool {
    bytes.windows(part.len()).any(|w| w == part.as_bytes())
}

/// Sends each case on a connection of its own, followed by `pipelined`, and checks the response and
/// that no target runs anything.
fn check_refused(cases: &[Case], pipelined: &str) {
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
        let mut request = expand(case.request, &key);
        request.extend(expand(pipelined, &key));
        client.write(&request).expect("sending the request failed");
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
    assert!(
        !contains(&received(&cluster), &key),
        "a target received the key"
    );
    assert_eq!(runs(), before, "a refused or smuggled request ran");
}

#[test]
fn hostile_framing_is_refused_and_smuggles_nothing() {
    check_refused(&FRAMING, SMUGGLED);
}

#[test]
fn hostile_heads_are_refused() {
    check_refused(&HEADS, "");
}

#[test]
fn key_outside_its_header_is_refused() {
    check_refused(&KEYS, "");
}

#[test]
fn error_response_to_head_request_has_no_body() {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let mut client = connect(&cluster);
    let refused = "HEAD /elsewhere HTTP/1.1\r\nhost: x\r\nAUTH\r\n";
    let good = "GET /catalogue/next HTTP/1.1\r\nhost: x\r\nAUTH\r\n";
    client
        .write(&expand(refused, &key))
        .expect("sending the request failed");
    assert_eq!(client.read_reply("HEAD").expect("no response").status, 404);
    client
        .write(&expand(good, &key))
        .expect("sending the request failed");
    let reply = client.read_reply("GET").expect("no response");
    assert_eq!(reply.json()["path"], "/catalogue/next");
}

#[test]
fn forged_headers_are_not_forwarded() {
    let cluster = fleet();
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    let mut client = connect(&cluster);
    let request = "GET /catalogue HTTP/1.1\r\nhost: kept-host\r\nAUTH\
        chervillug-workspace: forged\r\nChervillug_Workspace: forged\r\n\
        chervillug-request-id: forged\r\nCHERVILLUG-ANYTHING: forged\r\n\
        connection: host, chervillug-workspace, x-hop, content-length\r\nx-hop: forged\r\n\
        te: forged\r\nupgrade: forged\r\nkeep-alive: forged\r\nproxy-connection: forged\r\n\r\n";
    client
        .write(&expand(request, &key))
        .expect("sending the request failed");
    assert_eq!(client.read_reply("GET").expect("no response").status, 200);
    let received_bytes = received(&cluster);
    assert!(contains(&received_bytes, "host: kept-host"));
    assert!(contains(&received_bytes, "chervillug-workspace: parish"));
    for part in ["forged", "authorization", key.as_str()] {
        assert!(!contains(&received_bytes, part), "a target received {part}");
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
        client
            .write(&expand(&head, &key))
            .expect("sending the request failed");
        let reply = client.read_reply("GET").expect("no response");
        assert_eq!(reply.json()["reason"], "head_too_large");
        assert_eq!(reply.status, 431);
    }
}

#[test]
fn endless_head_is_refused_before_the_head_timeout() {
    let mut opts = env::options();
    opts.settings = json!({"limits": {"head_ms": 60_000}});
    let cluster = env::start(opts);
    let mut client = connect(&cluster);
    client
        .write(b"GET /catalogue HTTP/1.1\r\nx: ")
        .expect("sending the head failed");
    client
        .write(&[b'y'; 40_000])
        .expect("sending the head failed");
    let reply = client.read_reply("GET").expect("no response");
    assert_eq!(reply.json()["reason"], "head_too_large");
}

#[test]
fn head_timeout_starts_at_the_first_byte() {
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
fn response_to_an_unread_body_is_not_followed_by_a_reset() {
    let cluster = fleet();
    let body = vec![b'x'; 1 << 20];
    for _ in 0..5 {
        let mut client = connect(&cluster);
        let head = format!(
            "POST /catalogue HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        client
            .write(head.as_bytes())
            .expect("sending the head failed");
        client.write(&body).expect("sending the body failed");
        let reply = client.read_reply("POST").expect("no response");
        assert_eq!(reply.status, 401);
        assert_eq!(
            client.read_to_eof().expect("connection not closed cleanly"),
            0
        );
    }
}
