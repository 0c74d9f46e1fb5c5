//! The state of a claimed request.

use serde::{Deserialize, Serialize};

/// The state of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may run, or may have run with an unknown outcome.
    Running,
    /// A target responded to the request.
    Finished {
        /// Status of the response.
        status: u16,
    },
    /// The request failed without having run, so the next request may take the claim.
    Released,
}
