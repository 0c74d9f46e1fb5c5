//! Requests that crash the targets that run them.
//!
//! A request whose target died while it had the request is a suspect; after deaths of two
//! targets, without an answer in between, the whole fleet refuses the request for a while.
//! [`PoisonRegister`] decides, [`PoisonWatch`] tells the other daemons.

mod entry;
mod fingerprint;
mod handler;
mod notice;
mod register;
mod watch;

pub use fingerprint::Fingerprint;
pub use handler::PoisonHandler;
pub use notice::{PoisonNotice, Verdict};
pub use register::PoisonRegister;
pub use watch::PoisonWatch;
