//! Uploads with and without a key, whole and streamed.

use std::{
    io::{Read, Write},
    net::TcpStream,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use standins::{configuration, EntryFleet};

/// Timeout of a response.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a configuration is in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(3);
/// Size of a body that is received whole before it is sent on, in bytes.
const SMALL: usize = 100;
/// Size of a body that is sent on while it is received, in bytes.
const LARGE: usize = 100_000;

/// Framing of an upload.
#[derive(Debug, Clone, Copy)]
enum Framing {
    Length,
    Chunked,
}

const FRAMINGS: [(usize, Framing); 4] = [
    (SMALL, Framing::Length),
    (SMALL, Framing::Chunked),
    (LARGE, Framing::Length),
    (LARGE, Framing::Chunked),
];

/// Sends one upload and returns the response, or an error if the connection is reset.
fn upload(
    fleet: &EntryFleet,
    path: &str,
    id: &str,
    key: Option<&str>,
    body: &[u8],
    framing: Framing,
) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(fleet.daemons[0].caller_address)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let key = key.map_or(String::new(), |key| {
        format!("authorization: Token {key}\r\n")
    });
    let mut out = format!(
        "POST {path} HTTP/1.1\r\nhost: shop.example\r\n{key}x-request-id: {id}\r\n\
         x-deadline-ms: 2000\r\nconnection: close\r\n"
    )
    .into_bytes();
    match framing {
        Framing::Length => {
            out.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
            out.extend_from_slice(body);
        }
        Framing::Chunked => {
            out.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
            for part in body.chunks(1000) {
                out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                out.extend_from_slice(part);
                out.extend_from_slice(b"\r\n");
            }
            out.extend_from_slice(b"0\r\n\r\n");
        }
    }
    stream.write_all(&out)?;
    let mut response = String::new();
    stream.read_to_string(&mut response)?;
    Ok(response)
}

fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or_default()
}

fn start() -> EntryFleet {
    let program = Path::new(env!("CARGO_BIN_EXE_chervillug"));
    EntryFleet::start(program, 1).expect("the fleet does not start")
}

/// Guards against uploads to routes without keys that are searched for an empty key, which is found
/// in every body: they were refused or, if large, passed on and cut without a response.
#[test]
fn uploads_without_a_key_are_served_whole() {
    struct Case {
        name: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        /// Whether the configuration has no workspaces.
        without_workspaces: bool,
        /// Whether the route of the path becomes public before the uploads.
        made_public: bool,
    }
    let cases = [
        Case {
            name: "keyed",
            path: "/one/x",
            key: Some("key-big"),
            without_workspaces: false,
            made_public: false,
        },
        Case {
            name: "public",
            path: "/open/x",
            key: None,
            without_workspaces: false,
            made_public: false,
        },
        Case {
            name: "public, with a key",
            path: "/open/x",
            key: Some("key-big"),
            without_workspaces: false,
            made_public: false,
        },
        Case {
            name: "made public",
            path: "/one/x",
            key: None,
            without_workspaces: false,
            made_public: true,
        },
        Case {
            name: "no workspaces",
            path: "/one/x",
            key: None,
            without_workspaces: true,
            made_public: false,
        },
    ];
    let fleet = start();
    for (case, version) in cases.iter().zip(2..) {
        let mut cfg = configuration(version);
        if case.made_public {
            cfg["routes"]["safe"]["anonymous"] = true.into();
        }
        if case.without_workspaces {
            cfg.as_object_mut().expect("an object").remove("tenants");
        }
        fleet.publish_configuration(&cfg);
        thread::sleep(CONFIGURATION_TIME);
        for (i, (size, framing)) in FRAMINGS.into_iter().enumerate() {
            let name = format!("{}: {size} bytes, {framing:?}", case.name);
            let id = format!("upload-{version}-{i}");
            let body: Vec<u8> = (0..size).map(|n| b'a' + (n % 26) as u8).collect();
            let response = upload(&fleet, case.path, &id, case.key, &body, framing);
            let response = response.unwrap_or_else(|e| panic!("{name}: {e}"));
            assert_eq!(status(&response), "200", "{name}: {response}");
            let runs = fleet.targets.iter().flat_map(|t| t.runs());
            let received: Vec<_> = runs.filter(|r| r.request_id == id).collect();
            assert_eq!(received.len(), 1, "{name}");
            assert!(received[0].body == body, "{name}: another body");
        }
    }
}

/// Guards against uploads that end with a reset when the daemon itself refuses the rest of the body.
#[test]
fn upload_that_is_refused_midway_gets_a_response() {
    let fleet = start();
    for (size, framing) in FRAMINGS {
        let name = format!("{size} bytes, {framing:?}");
        let mut body = vec![b'a'; size];
        body.extend_from_slice(b"key-big");
        let response = upload(&fleet, "/one/x", "exposed", Some("key-big"), &body, framing);
        let response = response.unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(status(&response), "400", "{name}: {response}");
        let reason = if size == SMALL {
            "key_exposed"
        } else {
            "upload_refused"
        };
        assert!(response.contains(reason), "{name}: {response}");
        let runs = fleet.targets.iter().flat_map(|t| t.runs());
        assert!(
            !runs.into_iter().any(|r| r.body.ends_with(b"key-big")),
            "{name}"
        );
    }
    let log = fleet.daemons[0].log();
    assert!(
        log.contains("upload refused midway"),
        "no reason in the log"
    );
    let end = Instant::now() + REPLY_TIMEOUT;
    while fleet
        .request(0, "key-big", "GET", "/one/x", "next")
        .is_ok_and(|r| r.status != 200)
    {
        assert!(Instant::now() < end, "not served any more");
    }
}
