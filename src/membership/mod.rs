//! Which daemons count in decisions about revisions, and when a daemon may serve.
//!
//! Pure decisions: time and messages come in as arguments.

mod contact;
mod incarnation;
mod member;
mod members;
mod serving;

pub use contact::{Contact, ContactReport};
pub use incarnation::Incarnation;
pub use member::{Member, Phase};
pub use members::Members;
pub use serving::{serve_until, FRESH_LIMIT};
