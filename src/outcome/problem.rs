//! Problem bodies.

use std::time::Duration;

use bytes::Bytes;
use http::{header, response, HeaderValue};
use serde::Serialize;

use super::ErrorKind;

#[derive(Serialize)]
struct Problem<'a> {
    title: &'a str,
    status: u16,
    outcome: &'a str,
    reason: &'a str,
    request_id: &'a str,
}

/// Makes the response to `kind`; `retry_after` replaces the kind's own.
///
/// # Panics
///
/// Never: all values are valid header values.
pub fn problem_response(
    kind: ErrorKind,
    request_id: &str,
    retry_after: Option<Duration>,
) -> (response::Parts, Bytes) {
    let response = kind.response();
    let problem = Problem {
        title: response.title,
        status: response.status.as_u16(),
        outcome: response.outcome.as_str(),
        reason: kind.name(),
        request_id,
    };
    let body = serde_json::to_vec(&problem).unwrap_or_default();
    let (mut head, ()) = http::Response::new(()).into_parts();
    head.status = response.status;
    head.headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    let own_wait = retry_after.map(|d| d.as_secs_f64().ceil() as u64);
    if let Some(s) = own_wait.or(response.retry_after_s.map(u64::from)) {
        head.headers
            .insert(header::RETRY_AFTER, HeaderValue::from(s));
    }
    (head, Bytes::from(body))
}
