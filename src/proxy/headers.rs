//! Headers that the fleet reads, strips and sets.

use std::borrow::Cow;

use http::{header, request, response, HeaderMap, HeaderName, HeaderValue};
use memchr::memmem;
use percent_encoding::percent_decode;

use crate::{claim::FirstRun, outcome::Outcome};

/// Prefix of all headers that only the fleet may set.
const OWN_PREFIX: &str = "chervillug-";
/// Names the workspace towards targets.
pub(super) const WORKSPACE: HeaderName = HeaderName::from_static("chervillug-workspace");
/// Names the request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-request-id");
/// Tells the outcome to callers.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("chervillug-outcome");
/// Deadline of a request, ms from now; read from callers and told to targets.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("chervillug-deadline-ms");
/// Mark of a caller on whether a request may run more than once: `yes` or `no`.
pub(super) const REPEATABLE: HeaderName = HeaderName::from_static("chervillug-repeatable");
/// Names a request of which the caller wants one run only.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Names the earlier request under the same idempotency key.
const FIRST_REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-first-request-id");
/// Status of the answer to that request.
const FIRST_STATUS: HeaderName = HeaderName::from_static("chervillug-first-status");
/// A target's word that it shed the request: `not-run`.
const TARGET_SHED: HeaderName = HeaderName::from_static("target-shed");
/// A target's word on its state: `serving`, `cold` or `draining`.
const TARGET_STATE: HeaderName = HeaderName::from_static("target-state");
/// A target's word on its load, as a share of its slots.
const TARGET_LOAD: HeaderName = HeaderName::from_static("target-load");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != header::CONTENT_LENGTH && *name != header::HOST)
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
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

/// Returns the key that came with a request in `authorization: Bearer`.
pub(super) fn bearer_key(headers: &HeaderMap) -> Option<&[u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    if values.next().is_some() || value.len() < 8 {
        return None;
    }
    let (scheme, key) = value.split_at(7);
    scheme
        .eq_ignore_ascii_case(b"bearer ")
        .then_some(key.trim_ascii())
}

/// Tells whether `key` stands anywhere in the head but in its own header.
pub(super) fn exposes_key(head: &request::Parts, key: &[u8]) -> bool {
    let holds = |bytes: &[u8]| {
        let decoded: Cow<'_, [u8]> = percent_decode(bytes).into();
        memmem::find(&decoded, key).is_some() || memmem::find(bytes, key).is_some()
    };
    if key.is_empty() {
        return false;
    }
    let target = head.uri.path_and_query();
    if target.is_some_and(|p| holds(p.as_str().as_bytes())) {
        return true;
    }
    head.headers
        .iter()
        .filter(|(name, _)| **name != header::AUTHORIZATION)
        .any(|(name, value)| holds(value.as_bytes()) || holds(name.as_str().as_bytes()))
}

/// Turns a caller's head into the one that a target gets.
///
/// # Panics
///
/// Never: names of workspaces and request ids are valid header values.
pub(super) fn prepare_for_target(head: &mut request::Parts, workspace: &str, request_id: &str) {
    strip_hop_by_hop(&mut head.headers);
    strip_own(&mut head.headers);
    head.headers.remove(header::AUTHORIZATION);
    head.headers.remove(header::EXPECT);
    head.headers.insert(WORKSPACE, valid_value(workspace));
    head.headers.insert(REQUEST_ID, valid_value(request_id));
}

/// Turns a target's head into the one that the caller gets.
pub(super) fn prepare_for_caller(head: &mut response::Parts) {
    strip_hop_by_hop(&mut head.headers);
    strip_own(&mut head.headers);
    for name in [TARGET_SHED, TARGET_STATE, TARGET_LOAD] {
        head.headers.remove(name);
    }
}

/// Adds what every answer carries.
pub(super) fn add_outcome(head: &mut response::Parts, outcome: Outcome, request_id: &str) {
    head.headers
        .insert(OUTCOME, HeaderValue::from_static(outcome.as_str()));
    head.headers.insert(REQUEST_ID, valid_value(request_id));
}

/// Adds what is known of the earlier request under the same idempotency key.
pub(super) fn add_first_run(head: &mut response::Parts, first: &FirstRun) {
    let id = valid_value(&first.request_id);
    head.headers.insert(FIRST_REQUEST_ID, id);
    if let Some(status) = first.status {
        head.headers.insert(FIRST_STATUS, HeaderValue::from(status));
    }
}

/// Returns the caller's mark on whether the request may run more than once.
pub(super) fn repeatable_mark(headers: &HeaderMap) -> Option<bool> {
    match headers.get(REPEATABLE)?.as_bytes() {
        b"yes" => Some(true),
        _ => Some(false),
    }
}

/// Tells whether a target says that it shed the request without running it.
pub(super) fn is_shed(head: &response::Parts) -> bool {
    head.headers
        .get(TARGET_SHED)
        .is_some_and(|v| v.as_bytes() == b"not-run")
}

/// Returns what a target says of its state.
pub(crate) fn target_state(headers: &HeaderMap) -> Option<crate::health::TargetState> {
    use crate::health::TargetState;
    match headers.get(TARGET_STATE)?.as_bytes() {
        b"serving" => Some(TargetState::Serving),
        b"cold" => Some(TargetState::Cold),
        b"draining" => Some(TargetState::Leaving),
        _ => None,
    }
}

/// Returns what a target says of its load.
pub(super) fn target_load(head: &response::Parts) -> Option<f64> {
    let load: f64 = head.headers.get(TARGET_LOAD)?.to_str().ok()?.parse().ok()?;
    (load.is_finite() && load >= 0.0).then_some(load)
}

fn valid_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| HeaderValue::from_static(""))
}
