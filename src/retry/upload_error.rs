//! Reasons for which an upload is ended.

/// The reason for which a body that is being passed on is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UploadError {
    /// The framing is malformed.
    Malformed,
    /// The body exceeds its limit.
    TooLarge,
    /// The body contains the caller's key.
    KeyExposed,
    /// No further part arrived in time.
    Stalled,
}
