//! Queues for requests that wait for a target.

mod fair;
mod rank_account;
mod ranked;

pub use fair::{FairQueue, QueueFull, QueueId, QueuedRequest};
pub use ranked::RankedQueue;
