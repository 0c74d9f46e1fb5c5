//! What callers are told about their requests.

mod error_kind;
mod outcome_kind;
mod problem;

pub use error_kind::{ErrorKind, ErrorResponse};
pub use outcome_kind::Outcome;
pub use problem::problem_response;
