//! Bodies that are far larger than a daemon's memory, through the real program.

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

/// Bytes of one streamed body; the measurement `path` uses 1 GiB.
const BODY_BYTES: u64 = 256 << 20;
/// Most resident memory of a daemon that streams, kB; the users' bound.
const MAX_RESIDENT_KB: u64 = 64 * 1024;
/// Longest time for one step on a loaded machine.
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
    let status = fs::read_to_string(path).expect("the process");
    let line = status.lines().find(|l| l.starts_with("VmHWM:"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).expect("a peak")
}

fn request(cluster: &Cluster, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(cluster.daemons[0].caller_address).expect("a connection");
    stream
        .set_read_timeout(Some(STEP_TIMEOUT))
        .expect("a timeout");
    stream.write_all(head.as_bytes()).expect("a request");
    stream
}

/// Reads to the end of the connection and returns the count of bytes behind the head.
fn count_body(mut stream: TcpStream) -> u64 {
    let mut part = vec![0; 256 * 1024];
    let mut all = 0;
    let mut head_end = None;
    loop {
        let n = stream.read(&mut part).expect("a part of the body");
        if n == 0 {
            return all - head_end.expect("a head");
        }
        if head_end.is_none() {
            let at = part[..n].windows(4).position(|w| w == b"\r\n\r\n");
            head_end = at.map(|at| all + at as u64 + 4);
        }
        all += n as u64;
    }
}

#[test]
fn large_answer_streams_in_bounded_memory() {
    let (cluster, key) = fleet();
    let head = format!(
        "GET /catalogue?stream={BODY_BYTES} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    assert_eq!(count_body(request(&cluster, &head)), BODY_BYTES);
    assert!(peak_resident_kb(&cluster) < MAX_RESIDENT_KB);
}

#[test]
fn slow_callers_hold_their_targets_back() {
    let (cluster, key) = fleet();
    let bytes = 32 << 20;
    let head = format!(
        "GET /catalogue?stream={bytes} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {key}\r\n\r\n"
    );
    let slow: Vec<TcpStream> = (0..6).map(|_| request(&cluster, &head)).collect();
    thread::sleep(Duration::from_millis(500));
    for stream in slow {
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
        let mut client = Client::connect(address, STEP_TIMEOUT).expect("a connection");
        let head = format!(
            "POST /catalogue/upload HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
             {framing}\r\n\r\n"
        );
        client.write(head.as_bytes()).expect("a head");
        for _ in 0..BODY_BYTES / part.len() as u64 {
            if chunked {
                client.write(b"100000\r\n").expect("a size");
            }
            client.write(&part).expect("a part");
            if chunked {
                client.write(b"\r\n").expect("an end");
            }
        }
        if chunked {
            client.write(b"0\r\n\r\n").expect("the last chunk");
        }
        let reply = client.read_reply("POST").expect("an answer");
        assert_eq!(reply.json()["body_bytes"], BODY_BYTES, "chunked: {chunked}");
    }
    assert!(peak_resident_kb(&cluster) < MAX_RESIDENT_KB);
}

#[test]
fn key_deep_in_a_streamed_body_reaches_no_target() {
    let (cluster, key) = fleet();
    cluster
        .targets
        .iter()
        .for_each(standins::Target::record_received);
    let before = vec![b'x'; 300_000];
    let (first, second) = key.as_bytes().split_at(20);
    let length = before.len() + key.len();
    let address = cluster.daemons[0].caller_address;
    let mut client = Client::connect(address, STEP_TIMEOUT).expect("a connection");
    let head = format!(
        "POST /catalogue/upload HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n"
    );
    client.write(head.as_bytes()).expect("a head");
    client.write(&before).expect("a part");
    client.write(first).expect("the beginning of the key");
    thread::sleep(Duration::from_millis(100));
    let _ = client.write(second);
    assert!(client.read_reply("POST").is_err(), "the connection is cut");
    let seen: Vec<u8> = cluster.targets.iter().flat_map(|t| t.received()).collect();
    assert!(!seen.windows(key.len()).any(|w| w == key.as_bytes()));
    let ran = cluster.targets.iter().flat_map(|t| t.log());
    assert!(!ran.into_iter().any(|r| r.path == "/catalogue/upload"));
}
