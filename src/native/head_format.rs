//! Chervillug's native format of HTTP heads.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request, response, HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    health::TargetState,
    outcome::{problem_response, ErrorKind, Outcome},
    proxy::{
        authorization_credentials, header_value_or_empty, strip_hop_by_hop, HeadFormat,
        RequestOrigin, ResponseClass, TargetReport,
    },
};

/// Prefix of all headers that only the fleet may set.
const RESERVED_PREFIX: &str = "chervillug-";
/// Workspace of the request, sent to targets.
const WORKSPACE: HeaderName = HeaderName::from_static("chervillug-workspace");
/// Identity of the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-request-id");
/// Outcome of the request, sent to callers.
const OUTCOME: HeaderName = HeaderName::from_static("chervillug-outcome");
/// Deadline of a request, ms from now; received from callers and sent to targets.
const DEADLINE_MS: HeaderName = HeaderName::from_static("chervillug-deadline-ms");
/// Set by a caller to state whether a request may run more than once: `yes` or `no`.
const REPEATABLE: HeaderName = HeaderName::from_static("chervillug-repeatable");
/// Set by a target that shed the request: `not-run`.
const TARGET_SHED: HeaderName = HeaderName::from_static("target-shed");
/// State reported by a target: `serving`, `cold` or `draining`.
const TARGET_STATE: HeaderName = HeaderName::from_static("target-state");
/// Load reported by a target, as a share of its slots.
const TARGET_LOAD: HeaderName = HeaderName::from_static("target-load");

/// Chervillug's native format of HTTP heads.
pub struct NativeHeadFormat;

impl HeadFormat for NativeHeadFormat {
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        authorization_credentials(headers, "bearer")
    }

    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = headers.get(DEADLINE_MS)?.to_str().ok()?;
        value.parse().ok().map(Duration::from_millis)
    }

    fn request_id<'a>(&self, _: &'a HeaderMap) -> Option<&'a str> {
        None
    }

    fn prepare_for_target(&self, head: &mut request::Parts, origin: &RequestOrigin<'_>) {
        strip_hop_by_hop(&mut head.headers);
        strip_reserved(&mut head.headers);
        head.headers.remove(header::AUTHORIZATION);
        head.headers.remove(header::EXPECT);
        if let Some(workspace) = origin.workspace {
            head.headers
                .insert(WORKSPACE, header_value_or_empty(workspace));
        }
        head.headers
            .insert(REQUEST_ID, header_value_or_empty(origin.request_id));
    }

    fn address_to_target(&self, headers: &mut HeaderMap, _: &str, left: Duration) {
        headers.insert(DEADLINE_MS, HeaderValue::from(left.as_millis() as u64));
    }

    fn classify(&self, head: &response::Parts, _: &str, _: bool) -> ResponseClass {
        let shed = head.headers.get(TARGET_SHED);
        if shed.is_some_and(|v| v.as_bytes() == b"not-run") {
            return ResponseClass::NotRun;
        }
        ResponseClass::Answer
    }

    fn target_report(&self, _: StatusCode, headers: &HeaderMap) -> TargetReport {
        TargetReport {
            state: target_state(headers),
            load: target_load(headers),
            ..TargetReport::default()
        }
    }

    fn prepare_for_caller(&self, head: &mut response::Parts, request_id: &str) {
        strip_hop_by_hop(&mut head.headers);
        strip_reserved(&mut head.headers);
        for name in [TARGET_SHED, TARGET_STATE, TARGET_LOAD] {
            head.headers.remove(name);
        }
        add_outcome(head, Outcome::Answer, request_id);
    }

    fn error_response(
        &self,
        kind: ErrorKind,
        request_id: &str,
        retry_after: Option<Duration>,
    ) -> (response::Parts, Bytes) {
        let (mut head, body) = problem_response(kind, request_id, retry_after);
        add_outcome(&mut head, kind.response().outcome, request_id);
        (head, body)
    }
}

fn strip_reserved(headers: &mut HeaderMap) {
    let reserved: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().replace('_', "-").starts_with(RESERVED_PREFIX))
        .cloned()
        .collect();
    for name in &reserved {
        headers.remove(name);
    }
}

fn add_outcome(head: &mut response::Parts, outcome: Outcome, request_id: &str) {
    head.headers
        .insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    head.headers
        .insert(REQUEST_ID, header_value_or_empty(request_id));
}

/// Returns whether the caller declares the request repeatable; `None` without the header.
pub(super) fn declared_repeatable(headers: &HeaderMap) -> Option<bool> {
    match headers.get(REPEATABLE)?.as_bytes() {
        b"yes" => Some(true),
        _ => Some(false),
    }
}

fn target_state(headers: &HeaderMap) -> Option<TargetState> {
    match headers.get(TARGET_STATE)?.as_bytes() {
        b"serving" => Some(TargetState::Serving),
        b"cold" => Some(TargetState::Cold),
        b"draining" => Some(TargetState::Leaving),
        _ => None,
    }
}

fn target_load(headers: &HeaderMap) -> Option<f64> {
    let load: f64 = headers.get(TARGET_LOAD)?.to_str().ok()?.parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}
