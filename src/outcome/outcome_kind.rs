//! The three outcomes of a request.

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target's answer.
    Answer,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}
