//! The row of one claim.

use serde::{Deserialize, Serialize};

use super::{ClaimId, ClaimState, RequestDigest};

/// The row of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Identity of the claim.
    pub id: ClaimId,
    /// Digest of the claimed request.
    pub digest: RequestDigest,
    /// Identity of the claimed request.
    pub request_id: String,
    /// Time of the claim by the claiming host's clock, s since the Unix epoch.
    pub created_s: u64,
    /// State of the request.
    pub state: ClaimState,
}
