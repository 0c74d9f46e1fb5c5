//! Compression of table changes between daemons.

use chervillug::follow::{decode_delta, encode_delta, RowChange, TableDelta};
use quickcheck::QuickCheck;

fn delta(value: &[u8]) -> TableDelta {
    TableDelta {
        whole: false,
        version: 9.into(),
        has_gap: false,
        more: false,
        rows: vec![RowChange {
            key: "config".to_owned(),
            value: Some(value.to_vec()),
            version: 9,
        }],
        era_start: None,
    }
}

/// Returns incompressible text of `n` bytes.
fn text(n: usize) -> Vec<u8> {
    let mut rng = fastrand::Rng::with_seed(3);
    (0..n).map(|_| rng.alphanumeric() as u8).collect()
}

#[test]
fn delta_survives_compression_against_any_base() {
    fn check(value: Vec<u8>, base: Vec<u8>) -> bool {
        let delta = delta(&value);
        let encoded = encode_delta(&delta, &base).expect("encoded");
        decode_delta(&encoded, &base).expect("decoded") == delta
    }
    QuickCheck::new().quickcheck(check as fn(Vec<u8>, Vec<u8>) -> bool);
}

#[test]
fn small_change_of_a_large_row_is_transferred_in_few_bytes() {
    struct Case {
        row_bytes: usize,
        max_encoded: usize,
    }
    let cases = [
        Case {
            row_bytes: 300_000,
            max_encoded: 1000,
        },
        Case {
            row_bytes: 4_500_000,
            max_encoded: 10_000,
        },
    ];
    for case in &cases {
        let base = text(case.row_bytes);
        let mut value = base.clone();
        value.splice(1000..1000, *b"one more route");
        let encoded = encode_delta(&delta(&value), &base).expect("encoded");
        assert!(
            encoded.len() <= case.max_encoded,
            "{} bytes of {}",
            encoded.len(),
            case.row_bytes
        );
    }
}

#[test]
fn damaged_changes_are_rejected() {
    let (base, value) = (text(5000), text(9000));
    let encoded = encode_delta(&delta(&value), &base).expect("encoded");
    struct Case {
        name: &'static str,
        bytes: Vec<u8>,
    }
    let cases = [
        Case {
            name: "empty",
            bytes: Vec::new(),
        },
        Case {
            name: "truncated",
            bytes: encoded[..encoded.len() / 2].to_vec(),
        },
        Case {
            name: "not compressed",
            bytes: text(100),
        },
    ];
    for case in &cases {
        assert!(decode_delta(&case.bytes, &base).is_err(), "{}", case.name);
    }
    assert_ne!(decode_delta(&encoded, &text(10)).ok(), Some(delta(&value)));
}
