//! Bytes of others: no decoder panics, allocates beyond its bound, or runs without end.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use bytes::BytesMut;
use chervillug::{
    config::{parse, parse_front},
    follow::{
        decode_delta, encode_delta, ChangesResponse, EraStart, ProofRequest, ProofResponse,
        RowChange, TableDelta,
    },
    http::{BodyDecoder, BodyKind},
    peer::{decode, Envelope},
    platform::{decode_configuration, decode_target},
    quota::{TokenRequest, TokenResponse},
    store::{Era, StoreVersion},
};
use monoio_codec::{Decoded, Decoder};
use quickcheck::QuickCheck;
use serde_json::json;

/// Longest time of decoding one message.
const MAX_TIME: Duration = Duration::from_secs(2);
/// Inputs of each decoder.
const INPUTS: u64 = 2_000;

/// Decodes a body that arrives in pieces; returns the number of decoded bytes.
fn decode_body(kind: BodyKind, pieces: &[Vec<u8>]) -> usize {
    let mut decoder = BodyDecoder::new(kind).with_max_chunked_bytes(1 << 20);
    let mut buf = BytesMut::new();
    let mut decoded = 0;
    for piece in pieces {
        buf.extend_from_slice(piece);
        loop {
            match decoder.decode(&mut buf) {
                Ok(Decoded::Some(Some(part))) => decoded += part.len(),
                Ok(Decoded::Some(None)) | Err(_) => return decoded,
                Ok(_) => break,
            }
        }
    }
    decoded
}

#[test]
fn body_decoder_yields_no_more_than_it_received() {
    fn check(pieces: Vec<Vec<u8>>, length: u64) -> bool {
        let received: usize = pieces.iter().map(Vec::len).sum();
        let kinds = [
            BodyKind::Empty,
            BodyKind::Fixed(length),
            BodyKind::Chunked,
            BodyKind::UntilClose,
        ];
        kinds
            .iter()
            .all(|kind| decode_body(*kind, &pieces) <= received)
    }
    QuickCheck::new()
        .tests(INPUTS)
        .quickcheck(check as fn(Vec<Vec<u8>>, u64) -> bool);
}

#[test]
fn chunked_body_is_decoded_the_same_wherever_it_is_split() {
    let body = b"4\r\nabcd\r\nA\r\n0123456789\r\n0\r\n\r\n";
    for at in 0..body.len() {
        let pieces = [body[..at].to_vec(), body[at..].to_vec()];
        assert_eq!(decode_body(BodyKind::Chunked, &pieces), 14, "split at {at}");
    }
    let bytes: Vec<Vec<u8>> = body.iter().map(|b| vec![*b]).collect();
    assert_eq!(decode_body(BodyKind::Chunked, &bytes), 14);
}

/// Returns `valid` with some bytes replaced, removed or inserted.
fn mutate(valid: &[u8], rng: &mut fastrand::Rng) -> Vec<u8> {
    let mut bytes = valid.to_vec();
    for _ in 0..rng.usize(1..8) {
        if bytes.is_empty() {
            break;
        }
        let at = rng.usize(..bytes.len());
        match rng.u8(..4) {
            0 => bytes[at] = rng.u8(..),
            1 => bytes.truncate(at),
            2 => bytes.insert(at, rng.u8(..)),
            // Lengths of 32 bits and nested arrays of MessagePack.
            _ => bytes[at] = [0xdd, 0xdf, 0xc6, 0xdb, 0x91, b'[', b'{', b'9'][rng.usize(..8)],
        }
    }
    bytes
}

/// Feeds mutations of `valid` and random bytes to a decoder.
fn fuzz(name: &str, valid: &[u8], decoder: impl Fn(&[u8])) {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..INPUTS {
        let random: Vec<u8> = (0..rng.usize(..64)).map(|_| rng.u8(..)).collect();
        for input in [mutate(valid, &mut rng), random] {
            let started = Instant::now();
            decoder(&input);
            assert!(started.elapsed() < MAX_TIME, "{name}: {input:?}");
        }
    }
}

fn delta() -> TableDelta {
    let row = RowChange {
        key: "config".to_owned(),
        value: Some(b"{\"version\":\"00000007\"}".repeat(20)),
        version: 9,
    };
    TableDelta {
        whole: false,
        version: 9.into(),
        has_gap: false,
        more: false,
        rows: vec![row],
        era_start: Some(EraStart {
            version: 4,
            withheld: vec!["evacuated".to_owned()],
        }),
    }
}

#[test]
fn messages_of_daemons_are_decoded_or_refused() {
    let req = ProofRequest {
        configuration: Some(7.into()),
        targets: Some(StoreVersion::new(Era::stated(2), 9)),
        members: Some(u64::MAX.into()),
    };
    let body = rmp_serde::to_vec(&req).expect("encoded");
    fuzz("proof request", &body, |b| {
        let _ = decode::<ProofRequest>(b);
    });
    let res = ProofResponse {
        age: Some(Duration::from_millis(3)),
        direct: true,
        configuration: Some(delta()),
        targets: None,
        members: None,
        pending: Default::default(),
    };
    let body = rmp_serde::to_vec(&res).expect("encoded");
    fuzz("proof", &body, |b| drop(decode::<ProofResponse>(b)));
    fuzz("changes", &body, |b| drop(decode::<ChangesResponse>(b)));
    fuzz("batch", &body, |b| drop(decode::<Vec<Envelope>>(b)));
    fuzz("tokens", &body, |b| {
        drop(decode::<TokenRequest>(b));
        let _ = decode::<TokenResponse>(b);
    });
}

#[test]
fn compressed_changes_are_decoded_or_refused() {
    let base = b"{\"version\":\"00000006\"}".repeat(20);
    let encoded = encode_delta(&delta(), &base).expect("encoded");
    fuzz("delta", &encoded, |b| drop(decode_delta(b, &base)));
    fuzz("delta without its base", &encoded, |b| {
        drop(decode_delta(b, b""))
    });
}

#[test]
fn changes_that_grow_beyond_the_limit_are_refused() {
    let zeros = vec![0; 80 << 20];
    let bomb = zstd::bulk::compress(&zeros, 3).expect("compressed");
    assert!(bomb.len() < 1 << 20);
    let started = Instant::now();
    assert!(decode_delta(&bomb, b"").is_err());
    assert!(started.elapsed() < MAX_TIME);
}

#[test]
fn rows_of_other_writers_are_decoded_or_refused() {
    let target = json!({
        "backend": "one", "addr": "127.0.0.1:80", "zone": "a", "version": "v1", "slots": 2,
        "state": "ready", "warmupLeftS": 0, "seq": 1, "born": 1_700_000_000_000_u64,
    });
    fuzz("target", target.to_string().as_bytes(), |b| {
        drop(decode_target("i-1", b));
    });
    let configuration = standins::configuration(7).to_string();
    fuzz("configuration", configuration.as_bytes(), |b| {
        drop(decode_configuration(b));
    });
    let deep = "[".repeat(200_000);
    assert!(decode_target("i-1", deep.as_bytes()).is_err());
    assert!(decode_configuration(deep.as_bytes()).is_err());
}

#[test]
fn settings_are_parsed_or_refused() {
    let path = Path::new("settings.json");
    let valid = r#"{"host": "h", // comment
        "data_centre": "a", "data_centres": ["a"], "shutdown_s": 6.5, "limits": {"head_ms": 1}}"#;
    fuzz("settings", valid.as_bytes(), |b| {
        let text = String::from_utf8_lossy(b);
        drop(parse(&text, path));
        drop(parse_front(&text, path));
    });
}
