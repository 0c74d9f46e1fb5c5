//! Asking for a request inside its workspace's rate and burst.

use std::time::Duration;

use crate::{
    limit::{Admission, Grant},
    outcome::ErrorKind,
};

use super::{access_policy::AuthorizedRequest, ProxyContext};

/// A refusal, with the time after which a retry makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Why the request is refused.
    pub(super) kind: ErrorKind,
    /// When a retry makes sense, where it differs from the kind's own time.
    pub(super) retry_after: Option<Duration>,
}

impl From<ErrorKind> for Refusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

/// Asks for one request inside the workspace's rate and burst.
pub(super) async fn admit(
    cx: &ProxyContext,
    allowed: &AuthorizedRequest,
    request_id: &str,
) -> Result<Grant, Refusal> {
    let Some(identity) = &allowed.identity else {
        return Ok(Grant::NON_EXPIRING);
    };
    let asked = cx.limiter.admit(&identity.workspace, &identity.plan);
    match asked.await {
        Admission::Granted(grant) => Ok(grant),
        Admission::Exceeded(wait) => {
            let workspace = &*identity.workspace;
            let wait_ms = wait.as_millis() as u64;
            let rate = identity.plan.rate_per_s;
            log::info!(request_id = request_id, workspace = workspace, wait_ms = wait_ms,
                rate_per_s:? = rate; "over rate");
            Err(Refusal {
                kind: ErrorKind::RateExceeded,
                retry_after: Some(wait),
            })
        }
        Admission::Unavailable => Err(ErrorKind::RateUnavailable.into()),
    }
}
