//! Settings files, the subcommand `check`, and the documentation of settings and metrics.

mod env;

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use chervillug::{
    config::{parse, LimitSettings},
    metrics::{Latency, Metrics},
};
use serde_json::{json, Value};
use strum::IntoEnumIterator;

const SETTINGS_PAGE: &str = include_str!("../docs/SETTINGS.md");
const METRICS_PAGE: &str = include_str!("../docs/METRICS.md");

/// A valid settings file; the cases replace parts of it, most often `FLOOR` on line 11.
const VALID: &str = r#"{
  // Comments are allowed.
  "host": "entry-1",
  "data_centre": "hobart",
  "caller_address": "127.0.0.1:8080",
  "peer_address": "127.0.0.1:8081",
  "operator_address": "127.0.0.1:8082",
  "platform_address": "127.0.0.1:8083",
  "fleet_secrets": ["0123456789abcdef"], /* one */
  "key_secret": "0123456789abcdef",
  "floor": 0.7,
  "operator_tokens": ["0123456789abcdef"]
}
"#;

/// One invalid setting.
struct Case {
    /// Text in the valid file.
    from: &'static str,
    /// Text that replaces it.
    to: &'static str,
    line: usize,
    /// Expected error: the key and the start of the message.
    error: &'static str,
}

const fn case(from: &'static str, to: &'static str, line: usize, error: &'static str) -> Case {
    Case {
        from,
        to,
        line,
        error,
    }
}

const FLOOR: &str = "\"floor\": 0.7";

const CASES: [Case; 22] = [
    case(
        "\"entry-1\"",
        "\"entry 1\"",
        3,
        "host: expected 1 to 64 letters",
    ),
    case("\"entry-1\"", "\"\"", 3, "host: expected 1 to 64 letters"),
    case("\"entry-1\"", "7", 3, "host: invalid type"),
    case(
        "\"hobart\"",
        "\"ho/bart\"",
        4,
        "data_centre: expected 1 to 64 letters",
    ),
    case(
        "\"127.0.0.1:8080\"",
        "\"localhost:8080\"",
        5,
        "caller_address: invalid socket address",
    ),
    case(
        "\"127.0.0.1:8081\"",
        "\"127.0.0.1\"",
        6,
        "peer_address: invalid socket address",
    ),
    case(
        "[\"0123456789abcdef\"], /*",
        "[], /*",
        9,
        "fleet_secrets: expected one or more secrets",
    ),
    case(
        "[\"0123456789abcdef\"], /*",
        "[\"short\"], /*",
        9,
        "fleet_secrets: expected one or more secrets",
    ),
    case(
        "\"key_secret\": \"0123456789abcdef\"",
        "\"key_secret\": \"short\"",
        10,
        "key_secret: expected at least 16",
    ),
    case(
        "[\"0123456789abcdef\"]\n",
        "[\"short\"]\n",
        12,
        "operator_tokens: expected one or more tokens",
    ),
    case(
        FLOOR,
        "\"floor\": 1.1",
        11,
        "floor: expected a share from 0 to 1",
    ),
    case(
        FLOOR,
        "\"floor\": -0.1",
        11,
        "floor: expected a share from 0 to 1",
    ),
    case(FLOOR, "\"flor\": 0.7", 11, "flor: unknown field"),
    case(
        FLOOR,
        "\"limits\": {\"connection\": 1}",
        11,
        "limits.connection: unknown field",
    ),
    case(
        FLOOR,
        "\"limits\": {\"connections\": 0}",
        11,
        "connections: expected at least 1",
    ),
    case(
        FLOOR,
        "\"limits\": {\"in_flight\": 0}",
        11,
        "in_flight: expected at least 1",
    ),
    case(
        FLOOR,
        "\"limits\": {\"in_flight\": -1}",
        11,
        "limits.in_flight: invalid value",
    ),
    case(
        FLOOR,
        "\"limits\": {\"head_bytes\": 100}",
        11,
        "head_bytes: expected 1024 to 61440",
    ),
    case(
        FLOOR,
        "\"limits\": {\"head_bytes\": 70000}",
        11,
        "head_bytes: expected 1024 to 61440",
    ),
    case(
        FLOOR,
        "\"limits\": {\"buffered_bytes\": 1}",
        11,
        "buffered_bytes: expected at least buffered_body_bytes",
    ),
    case(
        FLOOR,
        "\"limits\": {\"head_ms\": 0}",
        11,
        "head_ms: expected more than 0",
    ),
    case("\"floor\": 0.7,", "\"floor\" 0.7,", 11, ""),
];

fn check(path: &Path) -> Output {
    let program = env::command().program;
    let mut command = Command::new(program);
    command.arg("check").arg("--settings").arg(path);
    command.output().expect("the program runs")
}

fn write(name: &str, text: &str) -> PathBuf {
    let name = format!("chervillug-settings-{}-{name}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, text).expect("a file");
    path
}

#[test]
fn check_reports_file_line_key_and_expected_value() {
    let path = write("invalid", VALID);
    for case in &CASES {
        let text = VALID.replacen(case.from, case.to, 1);
        assert_ne!(text, VALID, "{}", case.to);
        fs::write(&path, text).expect("a file");
        let out = check(&path);
        let error = String::from_utf8_lossy(&out.stderr).into_owned();
        let expected = format!("{}:{}: {}", path.display(), case.line, case.error);
        assert!(error.starts_with(&expected), "{}: {error}", case.to);
        assert_eq!(out.status.code(), Some(3), "{}", case.to);
    }
    let _ = fs::remove_file(path);
}

#[test]
fn check_accepts_a_valid_file_and_reports_a_missing_one() {
    let path = write("valid", VALID);
    let out = check(&path);
    assert_eq!(out.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&out.stdout).contains("host entry-1"));
    fs::remove_file(&path).expect("a file");
    let out = check(&path);
    assert_eq!(out.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&out.stderr).contains("cannot be read"));
}

/// Returns the names in the first column of the tables on a documentation page.
fn documented_names(page: &str) -> BTreeSet<String> {
    let rows = page.lines().filter_map(|l| l.strip_prefix("| `"));
    let names = rows.filter_map(|l| l.split('`').next());
    names.map(str::to_owned).collect()
}

fn assert_same_names(page: &str, documented: &BTreeSet<String>, known: &BTreeSet<String>) {
    let missing: Vec<_> = known.difference(documented).collect();
    let unknown: Vec<_> = documented.difference(known).collect();
    assert!(missing.is_empty(), "{page} does not document {missing:?}");
    assert!(
        unknown.is_empty(),
        "{page} documents {unknown:?}, which do not exist in the code"
    );
}

/// Returns the keys that are valid in the object in which `text` has an unknown one.
fn known_keys(text: &str) -> BTreeSet<String> {
    let e = parse(text, Path::new("x")).expect_err("an unknown key");
    let listed = e.message.split("expected").nth(1).expect("a list");
    let names = listed.split('`').skip(1).step_by(2);
    names.map(str::to_owned).collect()
}

#[test]
fn settings_page_documents_every_key() {
    let (top, limits) = SETTINGS_PAGE.split_once("## Limits").expect("two tables");
    assert_eq!(documented_names(top), known_keys(r#"{"unknown": 1}"#));
    assert_eq!(
        documented_names(limits),
        known_keys(r#"{"limits": {"unknown": 1}}"#)
    );
}

#[test]
fn settings_page_documents_the_defaults() {
    let (_, limits) = SETTINGS_PAGE.split_once("## Limits").expect("two tables");
    let mut all = json!({});
    for row in limits.lines().filter_map(|l| l.strip_prefix("| `")) {
        let mut cells = row.split('|').map(str::trim);
        let key = cells.next().expect("a key").trim_end_matches('`');
        let value: u64 = cells.next().and_then(|v| v.parse().ok()).expect(key);
        all[key] = Value::from(value);
    }
    let documented: LimitSettings = serde_json::from_value(all).expect("limits");
    assert_eq!(
        format!("{documented:?}"),
        format!("{:?}", LimitSettings::default())
    );
}

#[test]
fn metrics_page_documents_every_metric() {
    let mut known = BTreeSet::new();
    Metrics::default().for_each_counter(|name, _| {
        known.insert(name.to_owned());
    });
    known.extend(Latency::iter().map(|latency| latency.name().to_owned()));
    assert_same_names("docs/METRICS.md", &documented_names(METRICS_PAGE), &known);
}
