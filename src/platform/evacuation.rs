//! The operator's rows that evacuate data centres.

use serde_json::{Map, Value};

/// Prefix of the keys of the rows; the name of the data centre follows.
const KEY_PREFIX: &str = "evacuate/";

/// Returns the data centre that the row `key` evacuates, which may be empty; `None` if it is another
/// kind of row.
pub fn evacuated_data_centre(key: &str) -> Option<&str> {
    key.strip_prefix(KEY_PREFIX)
}

/// Checks the value of an evacuation row, which is an object without required fields.
///
/// # Errors
///
/// Returns what is invalid in a value that is no object.
pub fn check_evacuation_value(value: &[u8]) -> Result<(), String> {
    let parsed: Result<Map<String, Value>, _> = serde_json::from_slice(value);
    parsed.map(drop).map_err(|e| e.to_string())
}
