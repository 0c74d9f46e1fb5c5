//! Framing of a received message body.

/// Framing of a received message body, which determines where the body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// The message has no body.
    Empty,
    /// The body has the given number of bytes.
    Fixed(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}
