//! Output of figures.

use serde_json::{json, Value};

/// Prints the figures of one case.
pub(crate) struct Report {
    case: &'static str,
    seed: u64,
}

impl Report {
    /// Makes the report of a case.
    pub(crate) fn new(case: &'static str, seed: u64) -> Self {
        Self { case, seed }
    }

    /// Prints one figure, with further fields that say what it belongs to.
    pub(crate) fn figure(&mut self, name: &str, value: f64, unit: &str, more: &Value) {
        let mut line = json!({
            "case": self.case,
            "figure": name,
            "value": value,
            "unit": unit,
            "seed": self.seed,
        });
        if let (Some(line), Some(more)) = (line.as_object_mut(), more.as_object()) {
            line.extend(more.clone());
        }
        println!("{line}");
    }
}
