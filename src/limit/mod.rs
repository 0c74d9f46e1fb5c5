//! Rates and bursts of workspaces.

mod admission;
mod bucket;
mod limiter;
mod static_split;

pub use admission::Admission;
pub use bucket::Bucket;
pub use limiter::{Limiter, LimiterMessage, TaskLimiter};
pub use static_split::{static_split_task, StaticSplit};
