//! Which daemons count in decisions about revisions, and when a daemon may serve.
//!
//! Pure decisions: time and messages come in as arguments.

mod heartbeats;
mod incarnation;
mod member;
mod members;
mod serving;

pub use heartbeats::{HeartbeatReport, Heartbeats};
pub use incarnation::Incarnation;
pub use member::{Member, Phase};
pub use members::Members;
pub use serving::{serve_until, FRESHNESS_LIMIT};
