//! Why a request is sent again.

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Why a request is sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// No connection to the target could be opened.
    ConnectFailed,
    /// The target shed the request without running it.
    TargetShed,
    /// The target closed or failed while it had a repeatable request.
    TargetLost,
    /// A kept connection had been closed before the request was written.
    StaleConnection,
}

impl RetryReason {
    /// Returns the name of the reason in logs and counters.
    pub fn name(self) -> &'static str {
        self.into()
    }
}
