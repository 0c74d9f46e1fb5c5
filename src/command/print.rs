//! Output for people.

use serde_json::Value;

/// Prints a JSON answer: an array of objects as lines, an object as `name: value` lines.
pub(super) fn print_plain(value: &Value) {
    match value {
        Value::Array(rows) => rows.iter().for_each(|row| println!("{}", line_of(row))),
        Value::Object(fields) => {
            for (name, value) in fields {
                print_field(name, value);
            }
        }
        other => println!("{}", scalar(other)),
    }
}

fn print_field(name: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            println!("{name}:");
            for (name, value) in fields {
                println!("  {name}: {}", scalar(value));
            }
        }
        Value::Array(rows) => {
            println!("{name}:");
            rows.iter().for_each(|row| println!("  {}", line_of(row)));
        }
        other => println!("{name}: {}", scalar(other)),
    }
}

fn line_of(row: &Value) -> String {
    let Value::Object(fields) = row else {
        return scalar(row);
    };
    let parts: Vec<String> = fields
        .iter()
        .map(|(n, v)| format!("{n}={}", scalar(v)))
        .collect();
    parts.join("  ")
}

fn scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
