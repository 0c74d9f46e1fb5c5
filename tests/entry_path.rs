//! Requests on the users' platform, with the real program.

use std::{path::Path, time::Duration};

use standins::{configuration, Client, EntryFleet};

fn start(daemons: usize) -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, daemons).expect("fleet did not start")
}

struct RefusedCase {
    name: &'static str,
    host: &'static str,
    authorization: Option<&'static str>,
    path: &'static str,
    status: u16,
}

const REFUSED_CASES: [RefusedCase; 6] = [
    RefusedCase {
        name: "unknown key",
        host: "shop.example",
        authorization: Some("Token nobody"),
        path: "/one/x",
        status: 401,
    },
    RefusedCase {
        name: "no key",
        host: "shop.example",
        authorization: None,
        path: "/one/x",
        status: 401,
    },
    RefusedCase {
        name: "another scheme",
        host: "shop.example",
        authorization: Some("Bearer key-big"),
        path: "/one/x",
        status: 401,
    },
    RefusedCase {
        name: "unknown path",
        host: "shop.example",
        authorization: Some("Token key-big"),
        path: "/three/x",
        status: 404,
    },
    RefusedCase {
        name: "prefix without its last slash",
        host: "shop.example",
        authorization: Some("Token key-big"),
        path: "/one",
        status: 404,
    },
    RefusedCase {
        name: "unknown host",
        host: "other.example",
        authorization: Some("Token key-big"),
        path: "/one/x",
        status: 404,
    },
];

#[test]
fn requests_not_allowed_by_the_configuration_are_refused() {
    let fleet = start(1);
    for case in &REFUSED_CASES {
        let mut headers = vec![("host", case.host), ("x-request-id", "refused")];
        headers.extend(case.authorization.map(|a| ("authorization", a)));
        let address = fleet.daemons[0].caller_address;
        let reply =
            Client::send_once(address, "GET", case.path, &headers, b"").expect("no response");
        assert_eq!(reply.status, case.status, "{}", case.name);
        assert_eq!(
            reply.header("x-request-id"),
            Some("refused"),
            "{}",
            case.name
        );
    }
    assert_eq!(fleet.run_count("refused"), 0);
}

#[test]
fn target_sees_the_workspace_and_never_the_key() {
    let fleet = start(1);
    let address = fleet.daemons[0].caller_address;
    let headers = [
        ("host", "shop.example"),
        ("authorization", "Token key-small"),
        ("x-request-id", "seen"),
        ("x-deadline-ms", "2000"),
        ("x-tenant", "big"),
        ("x-target-instance", "i-other"),
        ("x-own", "kept"),
    ];
    let reply =
        Client::send_once(address, "POST", "/two/y?z=1", &headers, b"abc").expect("no response");
    assert_eq!(reply.status, 200);
    assert_eq!(reply.text(), "seen");
    assert!(reply.header("x-server-signature").is_some());
    let runs: Vec<_> = fleet.targets.iter().flat_map(|t| t.runs()).collect();
    let run = runs
        .iter()
        .find(|r| r.request_id == "seen")
        .expect("request did not run");
    assert_eq!(run.request_line, "POST /two/y?z=1");
    assert_eq!(run.workspace, "small");
    assert_eq!(run.body, b"abc");
    assert!(!run.has_key);
    let left: u64 = run.deadline_ms.parse().expect("invalid deadline");
    assert!((500..=2000).contains(&left), "{left}");
}

/// A workspace name that is not ASCII.
const WORKSPACE_NAME: &str = "größe";

#[test]
fn target_sees_workspaces_whose_names_are_not_ascii() {
    let fleet = start(1);
    let mut cfg = configuration(2);
    cfg["tenants"][WORKSPACE_NAME] = cfg["tenants"]["big"].clone();
    cfg["tenants"][WORKSPACE_NAME]["apiKeys"] = serde_json::json!(["key-wide"]);
    fleet.publish_configuration(&cfg);
    std::thread::sleep(Duration::from_secs(2));
    let reply = fleet.request(0, "key-wide", "GET", "/two/x", "wide");
    assert_eq!(reply.expect("no response").status, 200);
    let runs: Vec<_> = fleet.targets.iter().flat_map(|t| t.runs()).collect();
    let run = runs
        .iter()
        .find(|r| r.request_id == "wide")
        .expect("request did not run");
    assert_eq!(run.workspace, WORKSPACE_NAME);
}

#[test]
fn configuration_with_invalid_header_values_is_skipped() {
    let fleet = start(1);
    let mut cfg = configuration(2);
    cfg["tenants"]["a\nb"] = cfg["tenants"]["big"].clone();
    cfg["tenants"]["big"]["apiKeys"] = serde_json::json!(["key-new"]);
    fleet.publish_configuration(&cfg);
    std::thread::sleep(Duration::from_secs(2));
    let status = |key| {
        fleet
            .request(0, key, "GET", "/one/x", "skipped")
            .expect("no response")
            .status
    };
    assert_eq!(
        status("key-big"),
        200,
        "the last valid configuration stays in force"
    );
    assert_eq!(status("key-new"), 401);
    assert!(fleet.daemons[0].log().contains("configuration skipped"));
}

#[test]
fn public_route_needs_no_key() {
    let fleet = start(1);
    let address = fleet.daemons[0].caller_address;
    let headers = [("host", "shop.example"), ("x-request-id", "open")];
    let reply = Client::send_once(address, "GET", "/open/x", &headers, b"").expect("no response");
    assert_eq!(reply.status, 200);
}

#[test]
fn invalid_http_gets_400_and_the_connection_closes() {
    let fleet = start(1);
    let address = fleet.daemons[0].caller_address;
    let mut client = Client::connect(address, Duration::from_secs(3)).expect("connect failed");
    client
        .write(b"no http at all\r\n\r\n")
        .expect("sending failed");
    let reply = client.read_reply("GET").expect("no response");
    assert_eq!(reply.status, 400);
    assert_eq!(
        client.read_to_eof().expect("connection not closed cleanly"),
        0
    );
}

#[test]
fn requests_are_distributed_by_weight() {
    let fleet = start(1);
    let mut cfg = configuration(2);
    let route = &mut cfg["routes"]["safe"];
    route
        .as_object_mut()
        .expect("route is not an object")
        .remove("backend");
    route["backends"] = serde_json::json!([
        {"backend": "one", "weight": 75}, {"backend": "two", "weight": 25}]);
    fleet.publish_configuration(&cfg);
    std::thread::sleep(Duration::from_millis(500));
    for i in 0..200 {
        let id = format!("w{i}");
        let reply = fleet.request(0, "key-big", "GET", "/one/x", &id);
        assert_eq!(reply.expect("no response").status, 200);
    }
    let targets_of_two = fleet.targets.iter().filter(|t| t.service == "two");
    let weighted = targets_of_two
        .flat_map(|t| t.runs())
        .filter(|r| r.request_id.starts_with('w'));
    let share = weighted.count() as f64 / 200.0;
    assert!((0.15..=0.35).contains(&share), "{share}");
}

/// Maximum body size in the configuration of this test, in bytes.
const MAX_BODY_BYTES: usize = 100_000;

struct BodyCase {
    name: &'static str,
    /// Size of the body in bytes.
    bytes: usize,
    /// Size of the chunks in bytes; 0 for a body with a content length.
    chunk: usize,
    /// Status of the response; `None` if the connection may end without one.
    status: Option<u16>,
    runs: usize,
}

const BODIES: [BodyCase; 5] = [
    BodyCase {
        name: "largest with a length",
        bytes: MAX_BODY_BYTES,
        chunk: 0,
        status: Some(200),
        runs: 1,
    },
    BodyCase {
        name: "too long by its length",
        bytes: MAX_BODY_BYTES + 1,
        chunk: 0,
        status: Some(413),
        runs: 0,
    },
    BodyCase {
        name: "largest in chunks",
        bytes: MAX_BODY_BYTES,
        chunk: 10_000,
        status: Some(200),
        runs: 1,
    },
    BodyCase {
        name: "too long by its first chunk",
        bytes: MAX_BODY_BYTES + 1,
        chunk: MAX_BODY_BYTES + 1,
        status: Some(413),
        runs: 0,
    },
    BodyCase {
        name: "too long in small chunks",
        bytes: MAX_BODY_BYTES + 10_000,
        chunk: 10_000,
        status: None,
        runs: 0,
    },
];

fn request_bytes(body: &BodyCase) -> Vec<u8> {
    let head = format!(
        "POST /two/x HTTP/1.1\r\nHost: shop.example\r\nAuthorization: Token key-big\r\n\
         X-Request-Id: {}\r\nX-Deadline-Ms: 2000\r\n",
        body.name.replace(' ', "-")
    );
    let bytes = vec![b'b'; body.bytes];
    if body.chunk == 0 {
        let head = format!("{head}Content-Length: {}\r\n\r\n", body.bytes);
        return [head.as_bytes(), &bytes].concat();
    }
    let mut buf = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for part in bytes.chunks(body.chunk) {
        buf.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        buf.extend_from_slice(part);
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(b"0\r\n\r\n");
    buf
}

#[test]
fn bodies_above_the_configured_limit_are_refused() {
    let fleet = start(1);
    let mut cfg = configuration(2);
    cfg["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into();
    fleet.publish_configuration(&cfg);
    std::thread::sleep(Duration::from_secs(2));
    for body in &BODIES {
        let address = fleet.daemons[0].caller_address;
        let mut client = Client::connect(address, Duration::from_secs(3)).expect("connect failed");
        // The error response may arrive before the whole body is sent.
        let _ = client.write(&request_bytes(body));
        let reply = client.read_reply("POST").ok();
        let status = reply.map(|r| r.status);
        let name = body.name;
        match body.status {
            Some(expected) => assert_eq!(status, Some(expected), "{name}"),
            None => assert_ne!(status, Some(200), "{name}"),
        }
        assert_eq!(
            fleet.run_count(&name.replace(' ', "-")),
            body.runs,
            "{name}"
        );
    }
}

#[test]
fn request_with_the_highest_ranks_of_route_and_workspace_is_served() {
    let mut fleet = start(1);
    let mut cfg = configuration(2);
    cfg["routes"]["safe"]["priority"] = serde_json::json!(u32::MAX);
    cfg["tenants"]["big"]["priority"] = serde_json::json!(u32::MAX);
    fleet.publish_configuration(&cfg);
    std::thread::sleep(Duration::from_secs(2));
    let reply = fleet.request(0, "key-big", "GET", "/one/x", "ranked");
    assert_eq!(reply.expect("a response").status, 200);
    assert!(fleet.daemons[0].is_running(), "the daemon ended");
}
