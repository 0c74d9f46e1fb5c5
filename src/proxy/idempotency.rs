//! Headers of idempotency keys.

use http::{response, HeaderName, HeaderValue};

use crate::claim::FirstRequest;

use super::headers::header_value_or_empty;

/// Names a request of which the caller wants one run only.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Names the earlier request under the same idempotency key.
const FIRST_REQUEST_ID: HeaderName = HeaderName::from_static("chervillug-first-request-id");
/// Status of the answer to that request.
const FIRST_STATUS: HeaderName = HeaderName::from_static("chervillug-first-status");

/// Adds what is known of the earlier request under the same idempotency key.
pub(super) fn add_first_run(head: &mut response::Parts, first: &FirstRequest) {
    let id = header_value_or_empty(&first.request_id);
    head.headers.insert(FIRST_REQUEST_ID, id);
    if let Some(status) = first.status {
        head.headers.insert(FIRST_STATUS, HeaderValue::from(status));
    }
}
