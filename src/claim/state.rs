//! What became of a claimed request.

use serde::{Deserialize, Serialize};

/// What became of a claimed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may run, or may have run with an unknown end.
    Running,
    /// A target answered it.
    Finished {
        /// Status of the answer.
        status: u16,
    },
    /// It was refused without a run, so that the next request may take the claim.
    Released,
}
