//! Decisions after an attempt that brought no answer.

mod attempt_end;
mod decide;
mod reason;
mod repeatable;

pub use attempt_end::{AttemptEnd, AttemptFailure};
pub use decide::{may_have_run, next_step, AttemptContext, NextStep};
pub use reason::RetryReason;
pub use repeatable::is_repeatable;
