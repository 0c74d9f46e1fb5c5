//! Requests that crash the targets that run them.
//!
//! A request whose target died while it had the request is a suspect; after deaths of two
//! targets, without an answer in between, the whole fleet refuses the request for a while.
//! [`PoisonDetector`] decides, [`PoisonTracker`] tells the other daemons.

mod detector;
mod fingerprint;
mod handler;
mod notice;
mod suspect;
mod tracker;

pub use detector::PoisonDetector;
pub use fingerprint::Fingerprint;
pub use handler::PoisonHandler;
pub use notice::{PoisonNotice, Verdict};
pub use tracker::PoisonTracker;
