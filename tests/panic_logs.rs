//! Log lines of panics, in a process of their own.

use std::process::Command;

use chervillug::{logging, peer::encode};
use serde::{Serialize, Serializer};

/// Set in the process that panics.
const CHILD: &str = "CHERVILLUG_PANICS";

/// A message that cannot be encoded.
struct Unencodable;

impl Serialize for Unencodable {
    fn serialize<S: Serializer>(&self, _: S) -> Result<S::Ok, S::Error> {
        panic!("not encodable")
    }
}

/// Guards against the end of a daemon whose log does not tell which of its functions caused it.
#[test]
fn panic_is_logged_with_the_functions_that_led_there() {
    if std::env::var_os(CHILD).is_some() {
        logging::init("entry-0");
        let _ = encode(&Unencodable);
        return;
    }
    let program = std::env::current_exe().expect("the path of the test");
    let mut child = Command::new(program);
    child.args([
        "--exact",
        "panic_is_logged_with_the_functions_that_led_there",
    ]);
    child.args(["--nocapture"]).env(CHILD, "1");
    let output = child.output().expect("the process runs");
    assert!(!output.status.success());
    let text = String::from_utf8_lossy(&output.stdout);
    let line = text
        .lines()
        .find_map(|line| line.find("{\"at_ms\"").map(|at| &line[at..]));
    let line = line.unwrap_or_else(|| panic!("no line in {text}"));
    let json: serde_json::Value = serde_json::from_str(line).expect("a JSON line");
    assert_eq!(json["level"], "ERROR");
    assert_eq!(json["message"], "panicked");
    assert_eq!(json["reason"], "not encodable");
    let field = |name: &str| json[name].as_str().unwrap_or_default().to_owned();
    assert!(field("place").contains("panic_logs.rs"), "{line}");
    assert!(field("functions").contains("chervillug::peer::"), "{line}");
}
