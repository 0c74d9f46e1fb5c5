//! The subcommand `explain`.

use std::io::{self, BufRead};

use serde_json::{Map, Value};

use crate::{cli::ExplainArgs, exit_code::ExitCode, explain::RequestTrace};

/// Prints the story of one request from log lines on standard input.
pub(super) fn explain(args: &ExplainArgs) -> ExitCode {
    let mut trace = RequestTrace::new(&args.request);
    for line in io::stdin().lock().lines() {
        match line {
            Ok(line) => trace.add_line(&line),
            Err(e) => {
                eprintln!("standard input: {e}");
                return ExitCode::Failure;
            }
        }
    }
    for entry in trace.entries() {
        println!("{}", text_of(entry));
    }
    for number in trace.unparsable_lines() {
        eprintln!("line {number}: no JSON object, skipped");
    }
    if trace.entries().is_empty() {
        eprintln!("no line of request {}", args.request);
        return ExitCode::Failure;
    }
    ExitCode::Success
}

fn text_of(entry: &Map<String, Value>) -> String {
    let text = |key: &str| entry.get(key).map(plain).unwrap_or_default();
    let known = ["at_ms", "host", "message", "level", "module", "request_id"];
    let others = entry
        .iter()
        .filter(|(key, _)| !known.contains(&key.as_str()));
    let fields: Vec<String> = others.map(|(k, v)| format!("{k}={}", plain(v))).collect();
    let (at, host, message) = (text("at_ms"), text("host"), text("message"));
    format!("{at} {host} {message} {}", fields.join(" "))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
