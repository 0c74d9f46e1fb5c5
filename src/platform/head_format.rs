//! The platform's format of HTTP heads towards callers and targets.

use std::time::Duration;

use bytes::Bytes;
use http::{header, request, response, HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::{
    outcome::{problem_response, ErrorKind},
    proxy::{
        authorization_credentials, header_value_or_empty, strip_hop_by_hop, HeadFormat,
        RequestOrigin, ResponseClass, TargetReport,
    },
};

/// Identity of a request, set by the caller and echoed by the target.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time from now for which the caller waits, ms.
const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Identity of the only target that may run the request.
const TARGET: HeaderName = HeaderName::from_static("x-target-instance");
/// Workspace of the key.
const WORKSPACE: HeaderName = HeaderName::from_static("x-tenant");
/// Set by a target that did not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-executed");
/// Signature of a target on its response; only its presence is checked.
const SIGNATURE: HeaderName = HeaderName::from_static("x-server-signature");
/// A target's running requests, waiting requests and slots, separated by commas.
const LOAD: HeaderName = HeaderName::from_static("x-server-load");

/// Requests per second that a target takes from the whole fleet, as long as it sends this header.
const LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// Sent with the value 1 by a target that leaves.
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");

/// Time for which a target is cold, ms; in responses to health probes only.
const WARMUP_MS: HeaderName = HeaderName::from_static("x-warmup-ms");

/// The platform's format of HTTP heads towards callers and targets.
pub struct PlatformHeadFormat;

impl HeadFormat for PlatformHeadFormat {
    fn key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a [u8]> {
        authorization_credentials(headers, "token")
    }

    fn caller_timeout(&self, headers: &HeaderMap) -> Option<Duration> {
        let value = headers.get(DEADLINE_MS)?.to_str().ok()?;
        let ms: f64 = value.trim().parse().ok()?;
        Duration::try_from_secs_f64(ms / 1000.0).ok()
    }

    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str> {
        headers.get(REQUEST_ID)?.to_str().ok()
    }

    fn prepare_for_target(&self, head: &mut request::Parts, origin: &RequestOrigin<'_>) {
        strip_hop_by_hop(&mut head.headers);
        for name in [header::AUTHORIZATION, header::EXPECT, TARGET, WORKSPACE] {
            head.headers.remove(name);
        }
        if let Some(workspace) = origin.workspace {
            head.headers
                .insert(WORKSPACE, header_value_or_empty(workspace));
        }
    }

    fn address_to_target(&self, headers: &mut HeaderMap, target: &str, left: Duration) {
        headers.insert(TARGET, header_value_or_empty(target));
        headers.insert(DEADLINE_MS, HeaderValue::from(left.as_millis() as u64));
    }

    fn classify(&self, head: &response::Parts, request_id: &str, reused: bool) -> ResponseClass {
        let echo = head.headers.get(REQUEST_ID);
        let is_own = echo.is_some_and(|v| v.as_bytes() == request_id.as_bytes());
        // A refusal without an id may be that of an earlier request on the connection.
        let is_refusal_of_request = is_own || (echo.is_none() && !reused);
        if head.status == StatusCode::MISDIRECTED_REQUEST && is_refusal_of_request {
            return ResponseClass::WrongTarget;
        }
        if head.headers.contains_key(NOT_RUN) && is_refusal_of_request {
            return ResponseClass::NotRun;
        }
        let encoded = head.headers.contains_key(header::CONTENT_ENCODING);
        if !is_own || encoded || !head.headers.contains_key(SIGNATURE) {
            return ResponseClass::Invalid;
        }
        ResponseClass::Answer
    }

    fn implies_not_run(&self, status: StatusCode) -> bool {
        matches!(
            status,
            StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST
                | StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
        )
    }

    fn target_report(&self, status: StatusCode, headers: &HeaderMap) -> TargetReport {
        let load = headers.get(LOAD).and_then(|v| v.to_str().ok());
        let (limits, bad_limits) = positive_numbers(headers, &LIMIT);
        let (pauses, bad_pauses) = if status == StatusCode::SERVICE_UNAVAILABLE {
            positive_numbers(headers, &header::RETRY_AFTER)
        } else {
            (Vec::new(), 0)
        };
        let longest_s = pauses.into_iter().reduce(f64::max);
        TargetReport {
            state: None,
            load: load.and_then(share_of_slots),
            limit_per_s: limits.into_iter().reduce(f64::min),
            leaving: headers.get(LEAVING).is_some_and(|v| v == "1"),
            pause: longest_s.map(|s| Duration::try_from_secs_f64(s).unwrap_or(Duration::MAX)),
            unusable: bad_limits + bad_pauses,
        }
    }

    fn warmup_left(&self, status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
        let (left_ms, bad) = positive_numbers(headers, &WARMUP_MS);
        match left_ms.into_iter().reduce(f64::max) {
            Some(ms) => Some(Duration::try_from_secs_f64(ms / 1000.0).unwrap_or(Duration::MAX)),
            None => (bad == 0 && status.is_success()).then_some(Duration::ZERO),
        }
    }

    fn prepare_for_caller(&self, head: &mut response::Parts, _: &str) {
        strip_hop_by_hop(&mut head.headers);
        for name in [LOAD, LIMIT, LEAVING] {
            head.headers.remove(name);
        }
    }

    fn error_response(
        &self,
        kind: ErrorKind,
        request_id: &str,
        retry_after: Option<Duration>,
    ) -> (response::Parts, Bytes) {
        let (mut head, body) = problem_response(kind, request_id, retry_after);
        head.headers
            .insert(REQUEST_ID, header_value_or_empty(request_id));
        if let Some(wait) = retry_after {
            // Rounded up, so that a short wait does not read as none.
            let ms = wait.as_micros().div_ceil(1000).max(1);
            let text = format!("{}.{:03}", ms / 1000, ms % 1000);
            let value = header_value_or_empty(&text);
            head.headers.insert(header::RETRY_AFTER, value);
        }
        (head, body)
    }
}

/// Returns the values of the header `name` that are positive numbers, and the number of those that
/// are no numbers or negative. Zero asks for nothing.
fn positive_numbers(headers: &HeaderMap, name: &HeaderName) -> (Vec<f64>, u32) {
    let (mut numbers, mut unusable) = (Vec::new(), 0);
    for value in headers.get_all(name) {
        let text = value.to_str().ok().map(str::trim);
        match text.and_then(|text| text.parse::<f64>().ok()) {
            Some(n) if n.is_finite() && n > 0.0 => numbers.push(n),
            Some(0.0) => {}
            _ => unusable += 1,
        }
    }
    (numbers, unusable)
}

/// Returns the running and waiting requests of a target as a share of its slots.
fn share_of_slots(text: &str) -> Option<f64> {
    let mut numbers = text.split(',').map(|n| n.trim().parse::<f64>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    let slots = numbers.next()?.ok()?;
    let share = (running + waiting) / slots;
    (share.is_finite() && share >= 0.0).then_some(share)
}
