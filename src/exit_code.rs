//! Process exit codes.

use std::process;

/// Process exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The command failed at run time.
    Failure,
    /// The command line is invalid.
    Usage,
    /// The settings file is invalid.
    Settings,
    /// An address could not be bound.
    Bind,
    /// A daemon rejected the operator's request.
    Refused,
    /// A daemon could not be reached, or the outcome of an edit is unknown.
    Unknown,
    /// An edit was committed, but not yet confirmed by enough daemons.
    Pending,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        let n = match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Settings => 3,
            ExitCode::Bind => 4,
            ExitCode::Refused => 5,
            ExitCode::Unknown => 6,
            ExitCode::Pending => 7,
        };
        Self::from(n)
    }
}
