//! Request log.
//!
//! To keep keys out of the log, the only texts of a caller that are logged are the method and, if
//! the interface has one, the request id that the caller set.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::{
    health::QueueRejection,
    outcome::ErrorKind,
    retry::{Attempt, HedgeRefusal, RetryReason},
};

use super::access_policy::AuthorizedRequest;

/// Log entry of a request that was answered by a target.
pub(super) struct ResponseEntry<'a> {
    /// Id of the request.
    pub(super) request_id: &'a str,
    /// Workspace that owns the key.
    pub(super) workspace: &'a str,
    /// Service that the request was routed to.
    pub(super) service: &'a str,
    /// Method of the request.
    pub(super) method: &'a Method,
    /// Status of the response.
    pub(super) status: StatusCode,
    /// Whether the complete response was relayed to the caller.
    pub(super) whole: bool,
    /// Time from the dispatch of the request to the end of the response.
    pub(super) took: Duration,
}

/// Logs a request that was authorized and is within its rate limit.
pub(super) fn log_admitted(request_id: &str, authorized: &AuthorizedRequest) {
    let proof_age = authorized.basis.proof_age.unwrap_or_default();
    log::info!(
        request_id = request_id,
        workspace = &*authorized.workspace(),
        service = &*authorized.service,
        rank = authorized.rank,
        version = authorized.basis.version,
        proof_age_ms = proof_age.as_millis() as u64;
        "admitted"
    );
}

/// Log entry of a request for which a target was picked.
pub(super) struct PlacedEntry<'a> {
    /// Id of the request.
    pub(super) request_id: &'a str,
    /// Name of the picked target.
    pub(super) target: &'a str,
    /// Number of targets tried before.
    pub(super) tried: usize,
    /// Time spent waiting in the queue for a target.
    pub(super) waited: Duration,
    /// Time left until the deadline.
    pub(super) left: Duration,
}

/// Logs the target picked for a request.
pub(super) fn log_placed(entry: &PlacedEntry<'_>) {
    log::info!(
        request_id = entry.request_id,
        target_name = entry.target,
        tried = entry.tried,
        waited_ms = entry.waited.as_millis() as u64,
        left_ms = entry.left.as_millis() as u64;
        "placed"
    );
}

/// Logs a request that the queue for targets rejected.
pub(super) fn log_queue_rejection(request_id: &str, rank: u32, rejection: QueueRejection) {
    log::info!(
        request_id = request_id,
        rank = rank,
        cause = rejection.reason.name(),
        retry_after_ms = rejection.retry_after.as_millis() as u64;
        "rejected by the queue"
    );
}

/// Logs whether the retry budget allows a retry.
pub(super) fn log_retry(request_id: &str, reason: RetryReason, granted: bool) {
    log::info!(request_id = request_id, reason = reason.name(), granted = granted; "retry");
}

/// Logs a second attempt that is sent `after` the beginning of the first one.
pub(super) fn log_hedged(request_id: &str, target: &str, after: Duration) {
    log::info!(
        request_id = request_id,
        target_name = target,
        after_ms = after.as_millis() as u64;
        "second attempt sent"
    );
}

/// Logs the reason for which no second attempt is sent.
pub(super) fn log_hedge_refused(request_id: &str, reason: HedgeRefusal) {
    log::info!(request_id = request_id, reason = reason.name(); "no second attempt");
}

/// Logs which of two attempts continues alone or is used.
pub(super) fn log_hedge_ended(request_id: &str, remaining: Attempt, other_failed: bool) {
    log::info!(
        request_id = request_id,
        remaining = remaining.name(),
        other_failed = other_failed;
        "one of two attempts ended"
    );
}

/// Logs a request that was answered by a target.
pub(super) fn log_response(entry: &ResponseEntry<'_>) {
    log::info!(
        request_id = entry.request_id,
        workspace = entry.workspace,
        service = entry.service,
        method = entry.method.as_str(),
        status = entry.status.as_u16(),
        whole = entry.whole,
        took_us = entry.took.as_micros() as u64;
        "answered"
    );
}

/// Logs a request that was answered with an error of the proxy.
pub(super) fn log_error_response(request_id: &str, kind: ErrorKind) {
    log::info!(request_id = request_id, reason = kind.name(); "refused");
}

/// Logs a request whose caller disconnected.
pub(super) fn log_caller_disconnected(request_id: &str) {
    log::info!(request_id = request_id; "caller disconnected");
}
