//! Log lines of requests.
//!
//! They hold no text of a caller besides the method, so that no key gets into a log.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::{outcome::ErrorKind, retry::RetryReason};

use super::access_policy::AuthorizedRequest;

/// A request that got a target's answer.
pub(super) struct AnswerLine<'a> {
    /// Identity of the request.
    pub(super) request_id: &'a str,
    /// Workspace of the key.
    pub(super) workspace: &'a str,
    /// Service that served the request.
    pub(super) service: &'a str,
    /// Method of the request.
    pub(super) method: &'a Method,
    /// Status of the answer.
    pub(super) status: StatusCode,
    /// Whether the caller got the answer whole.
    pub(super) whole: bool,
    /// Time from the head of the request to the end of the answer.
    pub(super) took: Duration,
}

/// Logs that the lists and the rate allow a request.
pub(super) fn log_admitted(request_id: &str, allowed: &AuthorizedRequest) {
    let proof_age = allowed.basis.proof_age.unwrap_or_default();
    log::info!(
        request_id = request_id,
        workspace = &*allowed.workspace(),
        service = &*allowed.service,
        rank = allowed.rank,
        version = allowed.basis.version,
        proof_age_ms = proof_age.as_millis() as u64;
        "admitted"
    );
}

/// What the choice of a target led to.
pub(super) struct PlacedLine<'a> {
    /// Identity of the request.
    pub(super) request_id: &'a str,
    /// Name of the target.
    pub(super) target: &'a str,
    /// Targets that were tried before.
    pub(super) tried: usize,
    /// Time that the choice took, which a request spends in the queue.
    pub(super) waited: Duration,
    /// Time that is left for the request.
    pub(super) left: Duration,
}

/// Logs the target that was chosen for a request.
pub(super) fn log_placed(line: &PlacedLine<'_>) {
    log::info!(
        request_id = line.request_id,
        target_name = line.target,
        tried = line.tried,
        waited_ms = line.waited.as_millis() as u64,
        left_ms = line.left.as_millis() as u64;
        "placed"
    );
}

/// Logs whether the budget lets a request be sent again.
pub(super) fn log_retry(request_id: &str, reason: RetryReason, granted: bool) {
    log::info!(request_id = request_id, reason = reason.name(), granted = granted; "retry");
}

/// Logs a request that got a target's answer.
pub(super) fn log_answer(line: &AnswerLine<'_>) {
    log::info!(
        request_id = line.request_id,
        workspace = line.workspace,
        service = line.service,
        method = line.method.as_str(),
        status = line.status.as_u16(),
        whole = line.whole,
        took_us = line.took.as_micros() as u64;
        "answered"
    );
}

/// Logs a request that got no target's answer.
pub(super) fn log_refusal(request_id: &str, kind: ErrorKind) {
    log::info!(request_id = request_id, reason = kind.name(); "refused");
}

/// Logs a request whose caller went away.
pub(super) fn log_caller_gone(request_id: &str) {
    log::info!(request_id = request_id; "caller gone");
}
