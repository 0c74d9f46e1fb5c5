//! Checks of a request's form.

use http::{request, Method, Version};

use crate::outcome::ErrorKind;

/// Checks the form of a request head, whatever the lists say.
///
/// # Errors
///
/// Returns the refusal of a request that proxies and targets may understand differently.
pub(crate) fn validate_head(head: &request::Parts) -> Result<(), ErrorKind> {
    let origin_form = head.uri.authority().is_none() && head.uri.path().starts_with('/');
    if !origin_form || head.method == Method::CONNECT || head.method == Method::TRACE {
        return Err(ErrorKind::BadRequest);
    }
    let expect = head.headers.get(http::header::EXPECT);
    if expect.is_some_and(|v| !v.as_bytes().eq_ignore_ascii_case(b"100-continue")) {
        return Err(ErrorKind::BadRequest);
    }
    let hosts = head.headers.get_all(http::header::HOST).iter().count();
    if hosts > 1 || (hosts == 0 && head.version == Version::HTTP_11) {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Checks that a path has no segments that a target may resolve differently.
///
/// # Errors
///
/// Returns the refusal of a path with dot segments, or with separators that are empty, encoded
/// or backslashes.
pub(crate) fn validate_path(path: &str) -> Result<(), ErrorKind> {
    if path.split('/').any(is_dot_segment) || path.contains("//") || path.contains('\\') {
        return Err(ErrorKind::BadRequest);
    }
    if path.contains('%') && decodes_to_separator(path) {
        return Err(ErrorKind::BadRequest);
    }
    Ok(())
}

/// Tells whether a segment is `.` or `..`, without its parameters.
fn is_dot_segment(segment: &str) -> bool {
    let name = segment.split(';').next().unwrap_or(segment);
    name == "." || name == ".."
}

/// Tells whether `path` holds an encoded dot, slash or backslash, which a target may decode.
fn decodes_to_separator(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    ["%2e", "%2f", "%5c"]
        .iter()
        .any(|code| lower.contains(code))
}
