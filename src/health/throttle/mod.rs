//! What targets ask of their callers, and whether this daemon may send them a request now.

mod fleet_share;
mod named_limit;
mod target_throttle;
mod token_lending;
mod warmup_limit;

use std::time::Duration;

pub use fleet_share::FleetShare;
pub use named_limit::LimitNews;
pub use target_throttle::{TargetThrottle, TokenKind};
pub use token_lending::{LendHandler, LendRequest, Lender, TokenBorrower};
pub use warmup_limit::{ServiceWarmup, WarmupTerms, WarmupTolerance};

/// Longest wait for a limit that is reported to callers.
const MAX_WAIT: Duration = Duration::from_secs(15);
