//! Exit codes of the program.

use std::process;

/// Exit codes of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything asked for was done.
    Success,
    /// The work failed while running.
    Failure,
    /// The command line is wrong.
    Usage,
    /// The settings file is wrong.
    Settings,
    /// An address could not be bound.
    Bind,
    /// A daemon refused the operator's request.
    Refused,
    /// A daemon could not be reached, or the outcome of an edit is not known.
    Unknown,
    /// An edit was committed but is not confirmed by enough daemons yet.
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
