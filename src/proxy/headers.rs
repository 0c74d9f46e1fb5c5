//! Header helpers: hop-by-hop headers, credentials and detection of exposed keys.

use std::borrow::Cow;

use http::{header, request, HeaderMap, HeaderName, HeaderValue};
use memchr::memmem;
use percent_encoding::percent_decode;

/// Headers that apply to a single connection only.
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

/// Removes the hop-by-hop headers, including those named in `connection` except `content-length`
/// and `host`.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
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

/// Returns the credentials of the only `authorization` header if it uses `scheme`.
pub(crate) fn authorization_credentials<'a>(
    headers: &'a HeaderMap,
    scheme: &str,
) -> Option<&'a [u8]> {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    let len = scheme.len();
    if values.next().is_some() || value.len() <= len || value[len] != b' ' {
        return None;
    }
    let (named, key) = value.split_at(len);
    named
        .eq_ignore_ascii_case(scheme.as_bytes())
        .then_some(key.trim_ascii())
}

/// Returns whether `bytes` contain `key`, as they are or percent-encoded.
pub(crate) fn contains_key(bytes: &[u8], key: &[u8]) -> bool {
    if key.is_empty() {
        return false;
    }
    let decoded: Cow<'_, [u8]> = percent_decode(bytes).into();
    memmem::find(&decoded, key).is_some() || memmem::find(bytes, key).is_some()
}

/// Returns whether `key` appears anywhere in the head other than in its own header.
pub(crate) fn exposes_key(head: &request::Parts, key: &[u8]) -> bool {
    let target = head.uri.path_and_query();
    if target.is_some_and(|p| contains_key(p.as_str().as_bytes(), key)) {
        return true;
    }
    head.headers
        .iter()
        .filter(|(name, _)| **name != header::AUTHORIZATION)
        .any(|(name, value)| {
            contains_key(value.as_bytes(), key) || contains_key(name.as_str().as_bytes(), key)
        })
}

/// Returns whether `text` is a valid header value.
pub(crate) fn is_valid_header_value(text: &str) -> bool {
    HeaderValue::from_str(text).is_ok()
}

/// Converts a name or id to a header value. Names and ids are validated when they are decoded;
/// if one is not a valid header value nevertheless, logs an error and returns an empty value.
pub(crate) fn header_value_or_empty(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).unwrap_or_else(|_| {
        log::error!(text:? = text; "not a valid header value; sending an empty one");
        HeaderValue::from_static("")
    })
}
