//! Human-readable output.

use serde_json::Value;

/// Prints a JSON value: an array of objects as one line each, an object as `name: value` lines.
pub(super) fn print_human(value: &Value) {
    match value {
        Value::Array(rows) => rows.iter().for_each(|row| println!("{}", format_row(row))),
        Value::Object(fields) => {
            for (name, value) in fields {
                print_field(name, value);
            }
        }
        other => println!("{}", format_scalar(other)),
    }
}

fn print_field(name: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            println!("{name}:");
            for (name, value) in fields {
                println!("  {name}: {}", format_scalar(value));
            }
        }
        Value::Array(rows) => {
            println!("{name}:");
            rows.iter()
                .for_each(|row| println!("  {}", format_row(row)));
        }
        other => println!("{name}: {}", format_scalar(other)),
    }
}

fn format_row(row: &Value) -> String {
    let Value::Object(fields) = row else {
        return format_scalar(row);
    };
    let parts: Vec<String> = fields
        .iter()
        .map(|(n, v)| format!("{n}={}", format_scalar(v)))
        .collect();
    parts.join("  ")
}

fn format_scalar(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
