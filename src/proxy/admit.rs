//! Admission of requests by the rate limiter, and by rank while their service is full.

use std::time::Duration;

use crate::{
    admission::GateDecision,
    clock::BootTime,
    limit::{Admission, Grant},
    outcome::ErrorKind,
};

use super::{access_policy::AuthorizedRequest, ProxyContext};

/// The reason for refusing a request and the time after which the caller may retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refusal {
    /// Error kind of the response.
    pub(super) kind: ErrorKind,
    /// Time after which a retry is useful, if it differs from the default of the kind.
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

/// Admits one request, which must be answered by `deadline`, against the rate and burst of the
/// workspace.
pub(super) async fn admit(
    cx: &ProxyContext,
    authorized: &AuthorizedRequest,
    request_id: &str,
    deadline: BootTime,
) -> Result<Grant, Refusal> {
    let Some(identity) = &authorized.identity else {
        return Ok(Grant::NON_EXPIRING);
    };
    let admission = cx
        .limiter
        .admit(&identity.workspace, &identity.plan, deadline);
    match admission.await {
        Admission::Granted(grant) => Ok(grant),
        Admission::Exceeded(wait) => {
            let workspace = &*identity.workspace;
            let wait_ms = wait.as_millis() as u64;
            let rate = identity.plan.rate_per_s;
            log::info!(request_id = request_id, workspace = workspace, wait_ms = wait_ms,
                rate_per_s:? = rate; "rate exceeded");
            Err(Refusal {
                kind: ErrorKind::RateExceeded,
                retry_after: Some(wait),
            })
        }
        Admission::Unavailable => Err(ErrorKind::RateUnavailable.into()),
    }
}

/// Admits one request that is within its plan against the level of its service.
pub(super) fn admit_by_rank(
    cx: &ProxyContext,
    authorized: &AuthorizedRequest,
    request_id: &str,
) -> Result<(), Refusal> {
    let Some(admission) = &cx.admission else {
        return Ok(());
    };
    match admission.admit(&authorized.service, authorized.rank) {
        GateDecision::Admit => Ok(()),
        GateDecision::Reject { retry_after, share } => {
            log::info!(request_id = request_id, service = &*authorized.service,
                rank = authorized.rank, share = share; "rejected by rank");
            Err(Refusal {
                kind: ErrorKind::Overloaded,
                retry_after: Some(retry_after),
            })
        }
    }
}
