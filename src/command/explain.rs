//! The subcommand `explain`.

use std::io::{self, BufRead};

use serde_json::{Map, Value};

use crate::{cli::ExplainArgs, exit_code::ExitCode, explain::RequestTrace};

/// Prints the log lines that explain one request, from logs on standard input.
pub(super) fn explain(args: &ExplainArgs) -> ExitCode {
    let mut trace = RequestTrace::new(&args.request);
    for line in io::stdin().lock().lines() {
        match line {
            Ok(line) => trace.add_line(&line),
            Err(e) => {
                eprintln!("cannot read standard input: {e}");
                return ExitCode::Failure;
            }
        }
    }
    for entry in trace.entries() {
        println!("{}", format_entry(entry));
    }
    for number in trace.unparsable_lines() {
        eprintln!("line {number}: not a JSON object, skipped");
    }
    if trace.entries().is_empty() {
        eprintln!("no log lines for request {}", args.request);
        return ExitCode::Failure;
    }
    ExitCode::Success
}

fn format_entry(entry: &Map<String, Value>) -> String {
    let text = |key: &str| entry.get(key).map(format_value).unwrap_or_default();
    let standard_keys = ["at_ms", "host", "message", "level", "module", "request_id"];
    let extra = entry
        .iter()
        .filter(|(key, _)| !standard_keys.contains(&key.as_str()));
    let fields: Vec<String> = extra
        .map(|(k, v)| format!("{k}={}", format_value(v)))
        .collect();
    let (at, host, message) = (text("at_ms"), text("host"), text("message"));
    format!("{at} {host} {message} {}", fields.join(" "))
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
