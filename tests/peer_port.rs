//! Peer port: authentication of messages, and independence of concurrent messages.

use std::{
    collections::BTreeMap,
    fmt::Write,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use chervillug::{
    metrics::{Counter, Metrics},
    peer::{
        decode, encode, peer_server_task, Envelope, FleetSecrets, MessageKind, Nonce, PeerClient,
        PeerDirectory, PeerError, PeerHandler, PeerRouter, PeerServer,
    },
    store::BoxFuture,
};
use hmac::{Hmac, Mac};
use monoio::{
    io::{AsyncReadRent, AsyncWriteRentExt},
    net::{TcpListener, TcpStream},
    time::timeout,
    LegacyDriver, RuntimeBuilder,
};
use sha2::Sha256;

const OLD_SECRET: &str = "old-fleet-secret-0123456789";
const NEW_SECRET: &str = "new-fleet-secret-0123456789";
const UNKNOWN_SECRET: &str = "unknown-fleet-secret-0123456789";
/// Timeout for expected answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay of the slow handler.
const SLOW_DELAY: Duration = Duration::from_secs(2);

/// Replies with the received message after a delay.
struct Echo {
    delay: Duration,
}

impl PeerHandler for Echo {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            monoio::time::sleep(self.delay).await;
            Some(body.to_vec())
        })
    }
}

struct Port {
    address: SocketAddr,
    metrics: Rc<Metrics>,
}

impl Port {
    fn count(&self, counter: Counter) -> u64 {
        let mut found = 0;
        self.metrics.for_each_counter(|name, value| {
            if name == counter.name() {
                found = value;
            }
        });
        found
    }
}

fn run(test: impl std::future::Future<Output = ()>) {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

fn secrets(list: &[&str]) -> FleetSecrets {
    let list: Vec<String> = list.iter().map(|s| (*s).to_owned()).collect();
    FleetSecrets::new(&list)
}

fn start_port(accepted: &[&str]) -> Port {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("an address");
    let metrics = Rc::new(Metrics::default());
    let mut router = PeerRouter::default();
    for (kind, delay) in [
        (MessageKind::Ask, Duration::ZERO),
        (MessageKind::Heartbeat, Duration::ZERO),
        (MessageKind::Poison, SLOW_DELAY),
    ] {
        router.register(kind, Rc::new(Echo { delay }));
    }
    let server = PeerServer {
        secrets: secrets(accepted),
        router,
        metrics: metrics.clone(),
    };
    monoio::spawn(peer_server_task(Rc::new(server), listener));
    Port { address, metrics }
}

fn client(list: &[&str]) -> PeerClient {
    let directory = PeerDirectory::new("entry-0", &BTreeMap::new());
    PeerClient::new(secrets(list), directory, Rc::default())
}

/// Returns the authentication code of a request, computed independently of the product.
fn auth_code(secret: &str, nonce: &[u8], sequence: u64, from: &str, body: &[u8]) -> String {
    let mut mac = Hmac::<Sha256>::new_from_slice(secret.as_bytes()).expect("any length");
    mac.update(b"request");
    mac.update(nonce);
    mac.update(&sequence.to_be_bytes());
    mac.update(&(from.len() as u64).to_be_bytes());
    mac.update(from.as_bytes());
    mac.update(body);
    let mut text = String::new();
    for b in mac.finalize().into_bytes() {
        let _ = write!(text, "{b:02x}");
    }
    text
}

fn request(path: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let len = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len}\r\n{headers}\r\n");
    [head.as_bytes(), body].concat()
}

/// Sends bytes and returns the response, which is empty if the other side closes.
async fn exchange(stream: &mut TcpStream, bytes: Vec<u8>) -> Vec<u8> {
    if stream.write_all(bytes).await.0.is_err() {
        return Vec::new();
    }
    let res = timeout(ANSWER_TIMEOUT, stream.read(vec![0; 4096])).await;
    let (res, mut buf) = res.expect("an answer or a closed connection");
    buf.truncate(res.unwrap_or(0));
    buf
}

async fn connect(port: &Port) -> (TcpStream, Nonce) {
    let mut stream = TcpStream::connect(port.address).await.expect("connected");
    let hello = exchange(&mut stream, request("/peer/hello", "", b"")).await;
    let head_end = hello.windows(4).position(|w| w == b"\r\n\r\n");
    let body = &hello[head_end.expect("a head") + 4..];
    (stream, decode(body).expect("a nonce"))
}

fn signed(secret: &str, nonce: Nonce, sequence: u64, body: &[u8]) -> Vec<u8> {
    let mac = auth_code(secret, &nonce.0, sequence, "entry-0", body);
    let headers = format!("peer-host: entry-0\r\npeer-sequence: {sequence}\r\npeer-mac: {mac}\r\n");
    request("/peer/messages", &headers, body)
}

fn batch() -> Vec<u8> {
    let msg = Envelope {
        kind: MessageKind::Ask,
        body: Some(vec![1, 2, 3]),
    };
    encode(&vec![msg]).expect("encoded")
}

#[test]
fn invalid_messages_are_refused_and_counted() {
    struct Case {
        name: &'static str,
        messages: fn(Nonce) -> Vec<Vec<u8>>,
        /// Prefix of the last answer, empty for a closed connection.
        last_answer: &'static str,
        counter: Option<Counter>,
    }
    let cases = [
        Case {
            name: "both secrets are accepted",
            messages: |n| {
                vec![
                    signed(OLD_SECRET, n, 1, &batch()),
                    signed(NEW_SECRET, n, 2, &batch()),
                ]
            },
            last_answer: "HTTP/1.1 200",
            counter: None,
        },
        Case {
            name: "unknown secret",
            messages: |n| vec![signed(UNKNOWN_SECRET, n, 1, &batch())],
            last_answer: "HTTP/1.1 401",
            counter: Some(Counter::PeerUnauthenticated),
        },
        Case {
            name: "replayed on the same connection",
            messages: |n| vec![signed(NEW_SECRET, n, 1, &batch()); 2],
            last_answer: "HTTP/1.1 401",
            counter: Some(Counter::PeerUnauthenticated),
        },
        Case {
            name: "replayed from another connection",
            messages: |_| vec![signed(NEW_SECRET, Nonce([7; 16]), 1, &batch())],
            last_answer: "HTTP/1.1 401",
            counter: Some(Counter::PeerUnauthenticated),
        },
        Case {
            name: "oversized body",
            messages: |_| {
                let head =
                    "POST /peer/messages HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n";
                vec![format!("{head}\r\n").into_bytes()]
            },
            last_answer: "",
            counter: Some(Counter::PeerOversized),
        },
        Case {
            name: "malformed body",
            messages: |n| vec![signed(NEW_SECRET, n, 1, b"\xc1\xc1")],
            last_answer: "",
            counter: Some(Counter::PeerUnreadable),
        },
    ];
    run(async move {
        for case in &cases {
            let port = start_port(&[NEW_SECRET, OLD_SECRET]);
            let (mut stream, nonce) = connect(&port).await;
            let mut last = Vec::new();
            for msg in (case.messages)(nonce) {
                last = exchange(&mut stream, msg).await;
            }
            let answer = String::from_utf8_lossy(&last).into_owned();
            assert!(
                answer.starts_with(case.last_answer),
                "{}: {answer}",
                case.name
            );
            assert_eq!(
                answer.is_empty(),
                case.last_answer.is_empty(),
                "{}",
                case.name
            );
            for counter in [
                Counter::PeerUnauthenticated,
                Counter::PeerOversized,
                Counter::PeerUnreadable,
            ] {
                let expected = u64::from(case.counter == Some(counter));
                assert_eq!(port.count(counter), expected, "{}: {counter:?}", case.name);
            }
        }
    });
}

#[test]
fn fleet_secrets_can_be_rotated_without_downtime() {
    struct Case {
        sender: &'static [&'static str],
        receiver: &'static [&'static str],
        answer: Result<u32, PeerError>,
    }
    let cases = [
        Case {
            sender: &[OLD_SECRET],
            receiver: &[OLD_SECRET, NEW_SECRET],
            answer: Ok(5),
        },
        Case {
            sender: &[OLD_SECRET, NEW_SECRET],
            receiver: &[NEW_SECRET, OLD_SECRET],
            answer: Ok(5),
        },
        Case {
            sender: &[NEW_SECRET],
            receiver: &[NEW_SECRET, OLD_SECRET],
            answer: Ok(5),
        },
        Case {
            sender: &[OLD_SECRET],
            receiver: &[NEW_SECRET],
            answer: Err(PeerError::Refused),
        },
    ];
    run(async move {
        for case in &cases {
            let port = start_port(case.receiver);
            let peers = client(case.sender);
            let answer = peers
                .call_address(port.address, MessageKind::Ask, &5_u32, ANSWER_TIMEOUT)
                .await;
            assert_eq!(
                answer, case.answer,
                "{:?} to {:?}",
                case.sender, case.receiver
            );
        }
    });
}

#[test]
fn slow_handler_does_not_delay_other_messages() {
    struct Case {
        name: &'static str,
        slow_messages: usize,
        fast_kind: MessageKind,
    }
    let cases = [
        Case {
            name: "same lane",
            slow_messages: 1,
            fast_kind: MessageKind::Heartbeat,
        },
        Case {
            name: "another lane saturated with slow messages",
            slow_messages: 300,
            fast_kind: MessageKind::Ask,
        },
    ];
    run(async move {
        for case in &cases {
            let port = start_port(&[NEW_SECRET]);
            let peers = client(&[NEW_SECRET]);
            let mut slow = Vec::new();
            for i in 0..case.slow_messages {
                let peers = peers.clone();
                slow.push(monoio::spawn(async move {
                    peers
                        .call_address(port.address, MessageKind::Poison, &i, ANSWER_TIMEOUT)
                        .await
                }));
            }
            let started = Instant::now();
            let answer: Result<u32, _> = peers
                .call_address(port.address, case.fast_kind, &5_u32, ANSWER_TIMEOUT)
                .await;
            assert_eq!(answer, Ok(5), "{}", case.name);
            assert!(
                started.elapsed() < SLOW_DELAY,
                "{}: delayed by slow messages",
                case.name
            );
            for (i, task) in slow.into_iter().enumerate() {
                assert_eq!(task.await, Ok(i), "{}", case.name);
            }
            assert!(
                started.elapsed() < SLOW_DELAY * 3,
                "{}: slow messages ran sequentially",
                case.name
            );
        }
    });
}
