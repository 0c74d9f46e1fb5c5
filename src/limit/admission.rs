//! The answer to a request for admission.

use std::time::Duration;

use super::Grant;

/// The answer to a request for admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is inside the workspace's rate and burst, as long as the grant is valid.
    Granted(Grant),
    /// The workspace used up its rate and burst; a token is due after this time.
    Exceeded(Duration),
    /// Whoever counts the workspace's rate cannot be reached.
    Unavailable,
}
