//! The border between requests and the form in which callers and targets write heads.

use std::time::Duration;

use bytes::Bytes;
use http::{request, response, HeaderMap};

use crate::{health::TargetState, outcome::ErrorKind};

/// Who a request comes from, as a target is told.
#[derive(Debug, Clone, Copy)]
pub struct RequestOrigin<'a> {
    /// Workspace of the key; none on routes without keys.
    pub workspace: Option<&'a str>,
    /// Identity of the request.
    pub request_id: &'a str,
}

/// What a target says of itself in an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetReport {
    /// Whether it takes new work; none when it does not say.
    pub state: Option<TargetState>,
    /// Requests that it has, running and waiting, as a share of its slots.
    pub load: Option<f64>,
}

/// What the head of a response is to the request that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The target's answer to the request.
    Answer,
    /// The target says that it did not run the request.
    NotRun,
    /// Another target serves this address, and did not run the request.
    WrongTarget,
    /// No answer that may reach the caller.
    Invalid,
}

/// Reads and writes the heads of one interface towards callers and targets.
pub trait HeadFormat {
    /// Returns the key that came with a request.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Returns how long the caller waits for its answer, where it says so.
    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Returns the identity that the caller gave its request, where the interface has one.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Turns a caller's head into the one that all targets get.
    fn prepare_for_target(&self, head: &mut request::Parts, sender: &RequestOrigin<'_>);

    /// Addresses a head to one target, which is told how much time is left.
    fn address_to_target(&self, headers: &mut HeaderMap, target: &str, left: Duration);

    /// Tells what the head of a response is to the request `request_id`.
    fn classify(&self, head: &response::Parts, request_id: &str) -> ResponseClass;

    /// Returns what a target says of itself.
    fn target_report(&self, headers: &HeaderMap) -> TargetReport;

    /// Turns a target's head into the one that the caller gets.
    fn prepare_for_caller(&self, head: &mut response::Parts, request_id: &str);

    /// Makes the response to a request that gets no target's answer; `retry_after` replaces the
    /// kind's own.
    fn error_response(
        &self,
        kind: ErrorKind,
        request_id: &str,
        retry_after: Option<Duration>,
    ) -> (response::Parts, Bytes);
}
