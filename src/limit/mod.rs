//! Rates and bursts of workspaces.

mod admission;
mod bucket_levels;
mod distributed;
mod grant;
mod handlers;
mod host_presence;
mod lease_change;
mod limiter;
mod messages;
mod negative_cache;
mod owned_slices;
mod ownership;
mod ownership_handle;
mod ownership_task;
mod service;
mod split;
mod static_split;
mod token_bucket;

pub use admission::Admission;
pub use bucket_levels::{BucketLevels, WorkspaceLevel};
pub use distributed::DistributedLimiter;
pub use grant::Grant;
pub use handlers::{HandoverHandler, TokenRequestHandler};
pub use host_presence::HostPresence;
pub use lease_change::{LeaseChange, SessionChange, SliceChange, SESSIONS_TABLE, SLICES_TABLE};
pub use limiter::{Limiter, LimiterMessage, TaskLimiter};
pub use messages::{HandoverRequest, TokenRequest, TokenResponse};
pub use negative_cache::NegativeCache;
pub use owned_slices::{OwnedSlices, TakeOutcome};
pub use ownership::{OwnershipState, Versioned};
pub use ownership_handle::OwnershipHandle;
pub use ownership_task::{ownership_task, OwnershipManager};
pub use service::{LimitParts, LimitService};
pub use split::{BucketLimits, PlanSplit};
pub use static_split::{static_split_task, StaticSplit};
pub use token_bucket::TokenBucket;
