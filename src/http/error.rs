//! Errors of HTTP/1.1 connections.

use std::{fmt, io};

/// Reason why reading or writing an HTTP message failed.
#[derive(Debug)]
pub enum HttpError {
    /// A socket operation failed.
    Io(io::ErrorKind),
    /// The peer closed the connection in the middle of a message.
    UnexpectedEof,
    /// The head exceeds the limit on its size or its number of headers.
    HeadTooLarge,
    /// The body exceeds its size limit.
    BodyTooLarge,
    /// The head or the framing of the body is malformed or ambiguous.
    Malformed(&'static str),
    /// The body contains forbidden bytes.
    Forbidden,
    /// An operation timed out.
    Timeout,
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(kind) => write!(f, "socket error: {kind}"),
            Self::UnexpectedEof => f.write_str("connection closed in the middle of a message"),
            Self::HeadTooLarge => f.write_str("head too large"),
            Self::BodyTooLarge => f.write_str("body too large"),
            Self::Malformed(what) => write!(f, "malformed message: {what}"),
            Self::Forbidden => f.write_str("body contains forbidden bytes"),
            Self::Timeout => f.write_str("timed out"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> Self {
        Self::Io(e.kind())
    }
}
