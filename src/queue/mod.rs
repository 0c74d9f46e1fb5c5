//! Fair queueing of requests that wait for a target.

mod fair;

pub use fair::{FairQueue, QueueFull, QueuedRequest};
