//! Poison notices exchanged by daemons.

use serde::{Deserialize, Serialize};

use super::Fingerprint;

/// Verdict on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// A target crashed while processing the request.
    Suspect,
    /// Targets crashed one after another, so that the request is sent only as a test.
    HeldBack,
    /// The request is sent as a test, so that no other test follows soon.
    Tested,
    /// The request is refused.
    Refused,
    /// A target answered the request, which ends an earlier suspicion or refusal.
    Cleared,
}

/// Notifies other daemons of a request that crashed a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoisonNotice {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Name of the target that crashed last; empty if the notice is of no crash.
    pub target: String,
    /// Verdict on the request.
    pub verdict: Verdict,
    /// Whether the receiver relays the notice to the daemons of its data centre.
    pub relay: bool,
    /// Number of targets that crashed one after another, as known to the sender.
    #[serde(default)]
    pub consecutive: u32,
}
