//! The rate limiter's decision on one request.

use std::time::Duration;

use super::Grant;

/// The rate limiter's decision on one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is within the workspace's rate and burst while the grant is valid.
    Granted(Grant),
    /// The workspace has exhausted its rate and burst; the next token is due after this time.
    Exceeded(Duration),
    /// No daemon or task that holds the workspace's token buckets can be reached.
    Unavailable,
}
