//! Outcomes of a request.

/// The outcome of a request, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered.
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
