//! What daemons tell each other of a request that crashes targets.

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// What is held against a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// A target died while it had the request.
    Suspect,
    /// The request is refused.
    Refused,
}

/// What daemons tell each other of a request that crashes targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNotice {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Name of the target that died last.
    pub target: String,
    /// What is held against the request.
    pub verdict: Verdict,
    /// Whether the receiver is to tell the daemons of its own data centre.
    pub relay: bool,
}
