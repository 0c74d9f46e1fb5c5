//! Rates and bursts of workspaces.

mod admission;
mod ask;
mod ask_memory;
mod bucket;
mod grant;
mod handlers;
mod holdings;
mod host_presence;
mod lease_step;
mod levels;
mod limiter;
mod owned;
mod owner;
mod owner_view;
mod ownership_task;
mod service;
mod split;
mod static_split;

pub use admission::Admission;
pub use ask::{AskAnswer, AskRequest, HandoverRequest};
pub use ask_memory::AskMemory;
pub use bucket::Bucket;
pub use grant::Grant;
pub use handlers::{AskHandler, HandoverHandler};
pub use holdings::{Holdings, Taken};
pub use host_presence::HostPresence;
pub use lease_step::{LeaseStep, SessionChange, SliceChange, SESSIONS, SLICE_ROWS};
pub use levels::{Levels, WorkspaceLevel};
pub use limiter::{Limiter, LimiterMessage, TaskLimiter};
pub use owned::OwnedLimiter;
pub use owner::{Owner, Versioned};
pub use owner_view::OwnerView;
pub use ownership_task::{ownership_task, Ownership};
pub use service::{LimitParts, LimitService};
pub use split::{BucketShape, PlanSplit};
pub use static_split::{static_split_task, StaticSplit};
