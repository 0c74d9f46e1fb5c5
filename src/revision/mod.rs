//! Decisions on revisions: which to adopt, how to commit one, and when it is accepted.
//!
//! The module does no I/O: messages and randomness are arguments, and actions are return values.

mod ack_tracker;
mod adoption;
mod commit;

pub use ack_tracker::{Ack, AckTracker};
pub use adoption::{decide_adoption, Adoption};
pub use commit::{CommitEvent, CommitOutcome, CommitProtocol, CommitStep, Fence, ObservedHead};
