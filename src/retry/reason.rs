//! Reasons for retries.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// The reason for a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// No connection to the target could be opened.
    ConnectFailed,
    /// The target shed the request without running it.
    TargetShed,
    /// The target closed the connection or failed while processing a repeatable request.
    TargetLost,
    /// The target sent a malformed response to a repeatable request.
    TargetMalformed,
    /// The target answered a repeatable request with an error of its own.
    TargetError,
    /// A pooled connection closed while carrying a repeatable request.
    StaleConnection,
    /// A connection went silent while carrying a repeatable request.
    SilentConnection,
}

impl RetryReason {
    /// Returns the name of the reason in logs and counters.
    pub fn name(self) -> &'static str {
        self.into()
    }
}
