//! Decisions on revisions: which to adopt, how to commit one, and when it is accepted.
//!
//! Pure decisions: messages and randomness come in as arguments, and what to do comes out.

mod ack_tracker;
mod adoption;
mod commit;

pub use ack_tracker::{Ack, AckTracker};
pub use adoption::{decide_adoption, Adoption};
pub use commit::{CommitEvent, CommitOutcome, CommitProtocol, CommitStep, Fence, ObservedHead};
