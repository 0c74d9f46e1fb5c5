//! The settings of an entry daemon: faults, the page that lists them, and the template.

use std::{collections::BTreeSet, path::Path};

use chervillug::config::{parse_front, SettingsError};

const PAGE: &str = include_str!("../docs/FRONT-SETTINGS.md");
const TEMPLATE: &str = include_str!("../deploy/front.json.template");

/// A good settings file; `MORE` stands for further keys.
const GOOD: &str = r#"{
  // Comments are allowed.
  "host": "entry-1",
  "data_centre": "a",
  "data_centres": ["a", "b"],
  "caller_address": "127.0.0.1:8080",
  "ready_address": "127.0.0.1:8081",
  "peer_address": "127.0.0.1:8082",
  "store_address": "127.0.0.1:8083",
  "key_withdrawal_s": 5,
  "shutdown_s": 6.5,
  "floor": 0.7,
  "quota_slack": 20MORE
}"#;

struct Fault {
    name: &'static str,
    from: &'static str,
    to: &'static str,
    line: usize,
    key: &'static str,
}

const FAULTS: [Fault; 9] = [
    Fault {
        name: "own data centre missing",
        from: r#"["a", "b"]"#,
        to: r#"["b"]"#,
        line: 5,
        key: "data_centres",
    },
    Fault {
        name: "no address",
        from: "127.0.0.1:8080",
        to: "here",
        line: 6,
        key: "caller_address",
    },
    Fault {
        name: "keys never work",
        from: r#""key_withdrawal_s": 5"#,
        to: r#""key_withdrawal_s": 0.6"#,
        line: 10,
        key: "key_withdrawal_s",
    },
    Fault {
        name: "no time to stop",
        from: "6.5",
        to: "1",
        line: 11,
        key: "shutdown_s",
    },
    Fault {
        name: "negative time",
        from: "6.5",
        to: "-1",
        line: 11,
        key: "shutdown_s",
    },
    Fault {
        name: "floor above 1",
        from: "0.7",
        to: "1.1",
        line: 12,
        key: "floor",
    },
    Fault {
        name: "negative slack",
        from: "20MORE",
        to: "-1",
        line: 13,
        key: "quota_slack",
    },
    Fault {
        name: "unknown key",
        from: "MORE",
        to: ",\n \"other\": 1",
        line: 14,
        key: "other",
    },
    Fault {
        name: "bound of zero",
        from: "MORE",
        to: ",\n \"limits\": {\"in_flight\": 0}",
        line: 14,
        key: "in_flight",
    },
];

fn parse(text: &str) -> Result<(), SettingsError> {
    let text = text.replace("MORE", "");
    parse_front(&text, Path::new("front.json")).map(|_| ())
}

#[test]
fn faults_are_told_by_line_and_key() {
    assert!(parse(GOOD).is_ok());
    for fault in &FAULTS {
        let e = parse(&GOOD.replace(fault.from, fault.to)).expect_err(fault.name);
        assert_eq!(e.line, Some(fault.line), "{}: {e}", fault.name);
        assert!(e.to_string().contains(fault.key), "{}: {e}", fault.name);
    }
}

/// Returns the keys that the program knows, as it names them for an unknown one.
fn known_keys() -> BTreeSet<String> {
    let e = parse(&GOOD.replace("MORE", ", \"other\": 1")).expect_err("an unknown key");
    let text = e.to_string();
    let listed = text
        .split("expected one of ")
        .nth(1)
        .expect("the known keys");
    let quoted = listed.split('`').skip(1).step_by(2);
    quoted.map(str::to_owned).collect()
}

#[test]
fn page_names_what_the_program_knows() {
    let rows = PAGE.lines().filter_map(|l| l.strip_prefix("| `"));
    let named: BTreeSet<String> = rows
        .filter_map(|l| l.split('`').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(named, known_keys());
}

#[test]
fn template_sets_known_keys_only() {
    let keys = TEMPLATE.lines().filter_map(|l| l.trim().strip_prefix('"'));
    let keys: BTreeSet<String> = keys
        .filter_map(|l| l.split('"').next())
        .map(str::to_owned)
        .collect();
    assert!(keys.len() > 8);
    assert!(keys.is_subset(&known_keys()), "{keys:?}");
}
