//! Streaming of bodies much larger than the memory of a daemon, with the real program.

mod env;

use std::{
    fs,
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use serde_json::json;
use standins::{Client, Cluster};

/// Size of one streamed body in bytes; the measurement `path` uses 1 GiB.
const BODY_BYTES: u64 = 256 << 20;
/// Maximum resident memory of a streaming daemon in kB, as required by the users.
const MAX_RESIDENT_KB: u64 = 64 * 1024;
/// Timeout for one step, sufficient on a loaded host.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

fn fleet() -> (Cluster, String) {
    let mut opts = env::options();
    opts.settings = json!({"limits": {"deadline_ms": 60_000}});
    let cluster = env::start(opts);
    let key = env::add_workspace(&cluster, "parish", 1000.0, 1000);
    (cluster, key)
}

fn peak_resident_kb(cluster: &Cluster) -> u64 {
    let path = format!("/proc/{}/status", cluster.daemons[0].id());
    let status = fs::read_to_string(path).expect("process status not readable");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number
        .and_then(|n| n.parse().ok())
        .expect("no peak memory in the process status")
}

fn request(cluster: &Cluster, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.daemons[0].caller_address).expect("connect failed");
    stream
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("setting the timeout failed");
    stream
        .write_all(head.as_bytes())
        .expect("sending the request failed");
    stream
}

/// Reads until the end of the connection and returns the number of bytes after the head.
fn count_body(mut stream: TcpStream) -> u64 {
    let mut part = vec![0; 256 * 1024];
    let mut total = 0;
    let mut head_end = None;
    loop {
        let n = stream.read(&mut part).expect("reading the body failed");
        if n == 0 {
            return total - head_end.expect("no response head");
        }
        if head_end.is_none() {
            let at = part[..n].windows(4).position(|w| w == b"\r\n\r\n");
            head_end = at.map(|at| total + at as u64 + 4);
        }
        total += n as u64;
    }
}

#[test]
fn large_response_streams_in_bounded_memory() {
    let (cluster, key) = fleet();
    let head = format!(
        "GET /catalogue?stream={BODY_BYTES} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    assert_eq!(count_body(request(&cluster, &head)), BODY_BYTES);
    assert!(peak_resident_kb(&cluster) < MAX_RESIDENT_KB);
}

#[test]
fn slow_callers_apply_backpressure_to_targets() {
    let (cluster, key) = fleet();
    let bytes = 32 << 20;
    let head = format!(
        "GET /catalogue?stream={bytes} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    let slow_callers: Vec<TcpStream> = (0..6).map(|_| request(&cluster, &head)).collect();
    thread::sleep(Duration::from_millis(500));
    for stream in slow_callers {
        assert_eq!(count_body(stream), bytes);
    }
    assert!(peak_resident_kb(&cluster) < MAX_RESIDENT_KB);
}

#[test]
fn large_request_streams_in_bounded_memory() {
    let (cluster, key) = fleet();
    let part = vec![b'x'; 1 << 20];
    for chunked in [false, true] {
        let framing = if chunked {
            "transfer-encoding: chunked".to_owned()
        } else {
            format!("content-length: {BODY_BYTES}")
        };
        let address = cluster.daemons[0].caller_address;
        let mut client = Client::connect(address, STEP_TIMEOUT).expect("connect failed");
        let head = format!(
            "POST /catalogue/upload HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             {framing}\r\n\r\n"
        );
        client
            .write(head.as_bytes())
            .expect("sending the head failed");
        for _ in 0..BODY_BYTES / part.len() as u64 {
            if chunked {
                client
                    .write(b"100000\r\n")
                    .expect("sending a chunk size failed");
            }
            client
                .write(&part)
                .expect("sending a part of the body failed");
            if chunked {
                client.write(b"\r\n").expect("sending a chunk end failed");
            }
        }
        if chunked {
            client
                .write(b"0\r\n\r\n")
                .expect("sending the last chunk failed");
        }
        let reply = client.read_reply("POST").expect("no response");
        assert_eq!(reply.json()["body_bytes"], BODY_BYTES, "chunked: {chunked}");
    }
    assert!(peak_resident_kb(&cluster) < MAX_RESIDENT_KB);
}

#[test]
fn key_late_in_a_streamed_body_reaches_no_target() {
    let (cluster, key) = fleet();
    cluster
        .targets
        .iter()
        .for_each(standins::Target::record_received);
    let padding = vec![b'x'; 300_000];
    let (first, second) = key.as_bytes().split_at(20);
    let length = padding.len() + key.len();
    let address = cluster.daemons[0].caller_address;
    let mut client = Client::connect(address, STEP_TIMEOUT).expect("connect failed");
    let head = format!(
        "POST /catalogue/upload HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n"
    );
    client
        .write(head.as_bytes())
        .expect("sending the head failed");
    client
        .write(&padding)
        .expect("sending a part of the body failed");
    client
        .write(first)
        .expect("sending the first part of the key failed");
    thread::sleep(Duration::from_millis(100));
    let _ = client.write(second);
    let reply = client.read_reply("POST").expect("no response");
    assert_eq!(reply.status, 400, "{}", reply.text());
    assert_eq!(reply.json()["reason"], "upload_refused");
    assert_eq!(reply.header("chervillug-outcome"), Some("unknown"));
    let received: Vec<u8> = cluster.targets.iter().flat_map(|t| t.received()).collect();
    assert!(!received.windows(key.len()).any(|w| w == key.as_bytes()));
    let ran = cluster.targets.iter().flat_map(|t| t.log());
    assert!(!ran.into_iter().any(|r| r.path == "/catalogue/upload"));
}
