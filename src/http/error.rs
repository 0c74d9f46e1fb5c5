//! Errors of one HTTP/1.1 connection.

use std::{fmt, io};

/// Why reading or writing one HTTP message failed.
#[derive(Debug)]
pub enum HttpError {
    /// The socket failed.
    Io(io::ErrorKind),
    /// The other side closed in the middle of a message.
    UnexpectedEof,
    /// The head exceeds its byte or header limit.
    HeadTooLarge,
    /// The body exceeds its byte limit.
    BodyTooLarge,
    /// The head or the body framing is malformed or ambiguous.
    Malformed(&'static str),
    /// The body contains bytes that it must not contain.
    Forbidden,
    /// A step did not end within its time limit.
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
            Self::Timeout => f.write_str("timeout"),
        }
    }
}

impl std::error::Error for HttpError {}

impl From<io::Error> for HttpError {
    fn from(e: io::Error) -> Self {
        Self::Io(e.kind())
    }
}
