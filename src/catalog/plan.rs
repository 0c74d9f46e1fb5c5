//! The plan of one workspace.

use serde::{Deserialize, Serialize};

/// The plan of one workspace: which access list it uses, and how much it may ask.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Name of the plan, which the access list opens services and routes to.
    pub plan: String,
    /// Requests per second, over the whole fleet.
    pub rate_per_s: f64,
    /// Requests at once, over the whole fleet.
    pub burst: u32,
}
