//! Decisions on revisions: which to adopt, how to commit one, and when it is accepted.
//!
//! Pure decisions: messages and randomness come in as arguments, and what to do comes out.

mod adoption;
mod commit;
mod confirmation;

pub use adoption::{adoption, Adoption};
pub use commit::{Commit, CommitEnd, CommitEvent, CommitStep, Guard, HeadSeen};
pub use confirmation::{Confirmation, Confirmed};
