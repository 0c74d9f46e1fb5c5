//! Detection of poison requests, which crash the targets that run them.
//!
//! A request whose target crashed while processing it becomes a suspect. After crashes of two
//! targets, the second by a request sent when the first was known, the whole fleet holds the request
//! back and sends one at a time as a test. If a test crashes its target, too, the fleet refuses the
//! request for a while. An answer of a target ends the suspicion and the refusal.
//! [`PoisonDetector`] makes the decision, and [`PoisonTracker`] shares it with the other daemons.

mod detector;
mod fingerprint;
mod handler;
mod notice;
mod suspect;
mod tracker;

pub use detector::{PoisonDetector, Refusal};
pub use fingerprint::Fingerprint;
pub use handler::PoisonHandler;
pub use notice::{PoisonNotice, Verdict};
pub use tracker::PoisonTracker;
