//! Interface to the message head formats of callers and targets.

use std::time::Duration;

use bytes::Bytes;
use http::{request, response, HeaderMap, StatusCode};

use crate::{health::TargetState, outcome::ErrorKind};

/// Origin of a request, as reported to the target.
#[derive(Debug, Clone, Copy)]
pub struct RequestOrigin<'a> {
    /// Workspace that owns the key; `None` on routes without keys.
    pub workspace: Option<&'a str>,
    /// Id of the request.
    pub request_id: &'a str,
}

/// What a target reports about itself in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetReport {
    /// Whether the target accepts new requests; `None` if it does not report it.
    pub state: Option<TargetState>,
    /// Running and queued requests at the target, as a fraction of its slots.
    pub load: Option<f64>,
    /// Requests per second that the target takes from the whole fleet; `None` if it names no limit.
    pub limit_per_s: Option<f64>,
    /// Whether the target leaves for good; another start of it is another target.
    pub leaving: bool,
    /// Time for which the target wants no requests of this daemon.
    pub pause: Option<Duration>,
    /// Number of headers about the target whose value cannot be used.
    pub unusable: u32,
}

/// Classification of a response head with respect to its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The target's response to the request.
    Answer,
    /// The target reports that it did not run the request.
    NotRun,
    /// A different target serves this address and did not run the request.
    WrongTarget,
    /// Not a response that may be relayed to the caller.
    Invalid,
}

/// Reads and writes message heads in the format of one interface to callers and targets.
pub trait HeadFormat {
    /// Returns the key of a request.
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]>;

    /// Returns the timeout that the caller set, if any.
    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration>;

    /// Returns the request id that the caller set, if the interface has one.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Converts a caller's request head to the head sent to targets.
    fn prepare_for_target(&self, head: &mut request::Parts, origin: &RequestOrigin<'_>);

    /// Adds the headers for one target, including the time left until the deadline.
    fn address_to_target(&self, headers: &mut HeaderMap, target: &str, left: Duration);

    /// Classifies a response head with respect to the request `request_id`, which was sent on a
    /// connection that may have carried requests before (`reused`).
    fn classify(&self, head: &response::Parts, request_id: &str, reused: bool) -> ResponseClass;

    /// Returns whether callers take a response with `status` as the statement that their request was
    /// not run and never will be, whoever it comes from.
    fn implies_not_run(&self, _: StatusCode) -> bool {
        false
    }

    /// Returns what a target reports about itself.
    fn target_report(&self, status: StatusCode, headers: &HeaderMap) -> TargetReport;

    /// Returns the time for which a target is cold, by its response to a health probe; zero if it is
    /// not, and `None` if the response does not tell.
    fn warmup_left(&self, _: StatusCode, _: &HeaderMap) -> Option<Duration> {
        None
    }

    /// Converts a target's response head to the head sent to the caller.
    fn prepare_for_caller(&self, head: &mut response::Parts, request_id: &str);

    /// Builds the response to a request that no target answered; `retry_after` overrides the
    /// default of the kind.
    fn error_response(
        &self,
        kind: ErrorKind,
        request_id: &str,
        retry_after: Option<Duration>,
    ) -> (response::Parts, Bytes);
}
