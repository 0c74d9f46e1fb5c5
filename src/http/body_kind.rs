//! How the end of a message body is found.

/// How the end of a message body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The message has no body.
    Empty,
    /// The body has this many bytes.
    Fixed(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body lasts until the connection closes.
    UntilClose,
}
