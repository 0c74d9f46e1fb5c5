//! The plan of one workspace.

use serde::{Deserialize, Serialize};

/// The plan of one workspace: its entry in the access list, and its rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan, under which the access list holds its routes.
    pub plan: String,
    /// Requests per second across the whole fleet.
    pub rate_per_s: f64,
    /// Largest burst of requests across the whole fleet.
    pub burst: u32,
}
