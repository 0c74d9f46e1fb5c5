//! Log lines of requests.
//!
//! They hold no text of a caller besides the method, so that no key gets into a log.

use std::time::Duration;

use http::{Method, StatusCode};

use crate::outcome::ErrorKind;

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

/// Logs a request that got a target's answer.
pub(super) fn log_answer(line: &AnswerLine<'_>) {
    log::debug!(
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
    log::debug!(request_id = request_id; "caller gone");
}
