//! Decisions about rows of this project that a store lost as it came back from an older copy.

use bytes::Bytes;
use chervillug::{
    follow::{lost_member_version, secret_action, MemberRow, SecretAction},
    store::StoredRow,
};

fn row(value: Option<&str>) -> StoredRow {
    StoredRow {
        key: "k".to_owned(),
        value: value.map(|v| Bytes::copy_from_slice(v.as_bytes())),
        version: 7,
    }
}

/// Guards against daemons that no longer accept each other's messages, as a daemon that started in the
/// new era generated another secret.
#[test]
fn lost_secret_is_written_again_and_another_one_is_adopted() {
    let cases = [
        (None, SecretAction::Write),
        (Some(row(None)), SecretAction::Write),
        (Some(row(Some("own"))), SecretAction::Keep),
        (
            Some(row(Some("other"))),
            SecretAction::Adopt("other".to_owned()),
        ),
        (Some(row(Some(""))), SecretAction::Write),
    ];
    for (row, action) in cases {
        assert_eq!(secret_action(row.as_ref(), "own"), action, "{row:?}");
    }
}

/// Guards against daemons that others do not find, and against writes over a newer row.
#[test]
fn lost_or_older_row_of_a_daemon_is_written_on_the_condition_of_its_version() {
    let member = |leaving| MemberRow {
        data_centre: "a".to_owned(),
        address: "127.0.0.1:80".parse().expect("an address"),
        leaving,
    };
    let own = member(false);
    let json = |member: &MemberRow| serde_json::to_string(member).expect("JSON");
    let cases = [
        ("absent", None, Some(0)),
        ("removed", Some(row(None)), Some(0)),
        ("older", Some(row(Some(&json(&member(true))))), Some(7)),
        ("unreadable", Some(row(Some("{"))), Some(7)),
        ("present", Some(row(Some(&json(&own)))), None),
    ];
    for (name, row, expected) in cases {
        assert_eq!(lost_member_version(row.as_ref(), &own), expected, "{name}");
    }
}
