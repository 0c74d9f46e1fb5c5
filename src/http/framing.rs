//! Message framing checks that `monoio-http` does not perform.

use http::{
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    request, response, HeaderMap, Method, StatusCode, Version,
};

use super::{BodyKind, HttpError};

/// Returns the framing of a request body.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] if two readers could disagree on where the body ends.
pub fn request_body_kind(head: &request::Parts) -> Result<BodyKind, HttpError> {
    let framing = declared_framing(&head.headers, head.version)?;
    Ok(framing.unwrap_or(BodyKind::Empty))
}

/// Returns the framing of the body of a response to a request with `method`.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] if two readers could disagree on where the body ends.
pub fn response_body_kind(method: &Method, head: &response::Parts) -> Result<BodyKind, HttpError> {
    let framing = declared_framing(&head.headers, head.version)?;
    let bodiless = head.status == StatusCode::NO_CONTENT || head.status == StatusCode::NOT_MODIFIED;
    if *method == Method::HEAD || bodiless {
        return Ok(BodyKind::Empty);
    }
    Ok(framing.unwrap_or(BodyKind::UntilClose))
}

fn declared_framing(headers: &HeaderMap, version: Version) -> Result<Option<BodyKind>, HttpError> {
    let length = content_length(headers)?;
    let chunked = is_chunked(headers)?;
    if chunked && length.is_some() {
        return Err(HttpError::Malformed(
            "both transfer-encoding and content-length present",
        ));
    }
    if chunked && version != Version::HTTP_11 {
        return Err(HttpError::Malformed("transfer-encoding requires HTTP/1.1"));
    }
    if chunked {
        return Ok(Some(BodyKind::Chunked));
    }
    Ok(length.map(|n| {
        if n == 0 {
            BodyKind::Empty
        } else {
            BodyKind::Fixed(n)
        }
    }))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, HttpError> {
    let mut values = headers.get_all(CONTENT_LENGTH).iter();
    let Some(first) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(HttpError::Malformed("repeated content-length"));
    }
    let text = first.as_bytes();
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return Err(HttpError::Malformed("content-length is not a number"));
    }
    let text = std::str::from_utf8(text).map_err(|_| HttpError::Malformed("content-length"))?;
    let n = text
        .parse()
        .map_err(|_| HttpError::Malformed("content-length out of range"))?;
    Ok(Some(n))
}

fn is_chunked(headers: &HeaderMap) -> Result<bool, HttpError> {
    let mut values = headers.get_all(TRANSFER_ENCODING).iter();
    let Some(first) = values.next() else {
        return Ok(false);
    };
    if values.next().is_some() || !first.as_bytes().eq_ignore_ascii_case(b"chunked") {
        return Err(HttpError::Malformed(
            "unsupported transfer-encoding, only a single chunked is allowed",
        ));
    }
    Ok(true)
}

/// Checks the line ends in the raw bytes of a head, or of its beginning, from the offset `from` on.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] on a line feed without a carriage return, which the head
/// decoder would accept as a line end.
pub(super) fn check_line_ends(head: &[u8], from: usize) -> Result<(), HttpError> {
    let is_bare = |i: usize| head[i] == b'\n' && (i == 0 || head[i - 1] != b'\r');
    let bare = (from..head.len()).any(is_bare);
    if bare {
        return Err(HttpError::Malformed("line feed without carriage return"));
    }
    Ok(())
}
