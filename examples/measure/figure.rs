//! Output of measured figures as JSON lines.

use serde_json::{json, Value};

/// Prints the figures of one case.
pub(crate) struct Report {
    case: &'static str,
    seed: u64,
}

impl Report {
    /// Creates the report of a case.
    pub(crate) fn new(case: &'static str, seed: u64) -> Self {
        Self { case, seed }
    }

    /// Prints one figure as a JSON line, with `fields` that describe how it was measured.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str, fields: &Value) {
        let mut line = json!({
            "case": self.case,
            "figure": name,
            "value": value,
            "unit": unit,
            "seed": self.seed,
        });
        if let (Some(line), Some(fields)) = (line.as_object_mut(), fields.as_object()) {
            line.extend(fields.clone());
        }
        println!("{line}");
    }
}
