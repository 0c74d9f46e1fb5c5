//! Idempotency key headers.

use http::{response, HeaderName, HeaderValue};

use crate::claim::FirstRequest;

use super::headers::header_value_or_empty;

/// Identifies a request that the caller wants to run at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Id of the earlier request with the same idempotency key.
const FIRST_REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-first-request-id");
/// Status of the response to the earlier request.
const FIRST_STATUS: HeaderName = HeaderName::from_static("chervillug-first-status");

/// Adds the headers that describe the earlier request with the same idempotency key.
pub(super) fn add_first_request_headers(head: &mut response::Parts, first: &FirstRequest) {
    let id = header_value_or_empty(&first.request_id);
    head.headers.insert(FIRST_REQUEST_ID, id);
    if let Some(status) = first.status {
        head.headers.insert(FIRST_STATUS, HeaderValue::from(status));
    }
}
