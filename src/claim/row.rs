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
    /// When the claim was made, s since the Unix epoch by the claiming host's clock.
    pub created_s: u64,
    /// What became of the request.
    pub state: ClaimState,
}
