//! Encoding of message heads.
//!
//! The encoder of `monoio-http` cannot stream a body of known length, hence this one.

use std::fmt::Write;

use bytes::BytesMut;
use http::{
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    request, response, HeaderMap,
};

/// Framing of an outgoing message body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// No framing header: no body, or one that ends when the connection closes.
    None,
    /// A body with the given number of bytes.
    Length(u64),
    /// A body in the chunked transfer coding.
    Chunked,
}

/// Appends a request head; its framing headers are replaced by those of `framing`.
pub fn encode_request_head(head: &request::Parts, framing: Framing, buf: &mut BytesMut) {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let _ = write!(buf, "{} {} HTTP/1.1\r\n", head.method, path);
    encode_headers(&head.headers, framing, buf);
}

/// Appends a response head; its framing headers are replaced by those of `framing`.
pub fn encode_response_head(head: &response::Parts, framing: Framing, buf: &mut BytesMut) {
    let reason = head.status.canonical_reason().unwrap_or("Unknown");
    let _ = write!(buf, "HTTP/1.1 {} {reason}\r\n", head.status.as_u16());
    encode_headers(&head.headers, framing, buf);
}

fn encode_headers(headers: &HeaderMap, framing: Framing, buf: &mut BytesMut) {
    match framing {
        Framing::None => {}
        Framing::Length(n) => {
            let _ = write!(buf, "content-length: {n}\r\n");
        }
        Framing::Chunked => buf.extend_from_slice(b"transfer-encoding: chunked\r\n"),
    }
    for (name, value) in headers {
        if *name == CONTENT_LENGTH || *name == TRANSFER_ENCODING {
            continue;
        }
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(b"\r\n");
}
