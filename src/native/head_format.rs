//! Chervillug's own form of heads.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request, response, HeaderMap, HeaderName, HeaderValue};

use crate::{
    health::TargetState,
    outcome::{problem_response, ErrorKind, Outcome},
    proxy::{
        authorization_credentials, header_value_or_empty, strip_hop_by_hop, HeadFormat,
        RequestOrigin, ResponseClass, TargetReport,
    },
};

/// Prefix of all headers that only the fleet may set.
const OWN_PREFIX: &str = "chervillug-";
/// Names the workspace towards targets.
const WORKSPACE: HeaderName = HeaderName::from_static("chervillug-workspace");
/// Names the request.
const REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-request-id");
/// Tells the outcome to callers.
const OUTCOME: HeaderName = HeaderName::from_static("chervillug-outcome");
/// Deadline of a request, ms from now; read from callers and told to targets.
const DEADLINE_MS: HeaderName = HeaderName::from_static("chervillug-deadline-ms");
/// Mark of a caller on whether a request may run more than once: `yes` or `no`.
const REPEATABLE: HeaderName = HeaderName::from_static("chervillug-repeatable");
/// A target's word that it shed the request: `not-run`.
const TARGET_SHED: HeaderName = HeaderName::from_static("target-shed");
/// A target's word on its state: `serving`, `cold` or `draining`.
const TARGET_STATE: HeaderName = HeaderName::from_static("target-state");
/// A target's word on its load, as a share of its slots.
const TARGET_LOAD: HeaderName = HeaderName::from_static("target-load");

/// Chervillug's own form of heads.
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

    fn prepare_for_target(&self, head: &mut request::Parts, sender: &RequestOrigin<'_>) {
        strip_hop_by_hop(&mut head.headers);
        strip_own(&mut head.headers);
        head.headers.remove(header::AUTHORIZATION);
        head.headers.remove(header::EXPECT);
        if let Some(workspace) = sender.workspace {
            head.headers
                .insert(WORKSPACE, header_value_or_empty(workspace));
        }
        head.headers
            .insert(REQUEST_ID, header_value_or_empty(sender.request_id));
    }

    fn address_to_target(&self, headers: &mut HeaderMap, _: &str, left: Duration) {
        headers.insert(DEADLINE_MS, HeaderValue::from(left.as_millis() as u64));
    }

    fn classify(&self, head: &response::Parts, _: &str) -> ResponseClass {
        let shed = head.headers.get(TARGET_SHED);
        if shed.is_some_and(|v| v.as_bytes() == b"not-run") {
            return ResponseClass::NotRun;
        }
        ResponseClass::Answer
    }

    fn target_report(&self, headers: &HeaderMap) -> TargetReport {
        TargetReport {
            state: target_state(headers),
            load: target_load(headers),
        }
    }

    fn prepare_for_caller(&self, head: &mut response::Parts, request_id: &str) {
        strip_hop_by_hop(&mut head.headers);
        strip_own(&mut head.headers);
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

fn strip_own(headers: &mut HeaderMap) {
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().replace('_', "-").starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in &own {
        headers.remove(name);
    }
}

fn add_outcome(head: &mut response::Parts, outcome: Outcome, request_id: &str) {
    head.headers
        .insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    head.headers
        .insert(REQUEST_ID, header_value_or_empty(request_id));
}

/// Returns the caller's mark on whether the request may run more than once.
pub(super) fn repeatable_mark(headers: &HeaderMap) -> Option<bool> {
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
