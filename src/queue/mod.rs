//! Requests that wait for a target, fairly among workspaces.

mod fair;

pub use fair::{FairQueue, QueueFull, QueuedRequest};
