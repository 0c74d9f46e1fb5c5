//! Why a request is sent again.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// No connection to the target could be opened.
    ConnectFailed,
    /// The target shed the request without running it.
    TargetShed,
    /// The target closed or failed while it had a repeatable request.
    TargetLost,
    /// The target answered a repeatable request with something malformed.
    TargetMalformed,
    /// A kept connection closed while it had a repeatable request.
    StaleConnection,
    /// A connection went silent while it had a repeatable request.
    SilentConnection,
}

impl RetryReason {
    /// Returns the name of the reason in logs and counters.
    pub fn name(self) -> &'static str {
        self.into()
    }
}
