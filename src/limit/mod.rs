//! Rates and bursts of workspaces.

mod admission;
mod distributed;
mod grant;
mod handlers;
mod holdings;
mod host_presence;
mod lease_step;
mod levels;
mod limiter;
mod messages;
mod negative_cache;
mod owner;
mod owner_view;
mod ownership_task;
mod service;
mod split;
mod static_split;
mod token_bucket;

pub use admission::Admission;
pub use distributed::DistributedLimiter;
pub use grant::Grant;
pub use handlers::{HandoverHandler, TokenRequestHandler};
pub use holdings::{Holdings, TakeOutcome};
pub use host_presence::HostPresence;
pub use lease_step::{LeaseStep, SessionChange, SliceChange, SESSIONS, SLICE_ROWS};
pub use levels::{Levels, WorkspaceLevel};
pub use limiter::{Limiter, LimiterMessage, TaskLimiter};
pub use messages::{HandoverRequest, TokenRequest, TokenResponse};
pub use negative_cache::NegativeCache;
pub use owner::{Owner, Versioned};
pub use owner_view::OwnerView;
pub use ownership_task::{ownership_task, Ownership};
pub use service::{LimitParts, LimitService};
pub use split::{BucketLimits, PlanSplit};
pub use static_split::{static_split_task, StaticSplit};
pub use token_bucket::TokenBucket;
