//! Fleet-wide rate limits of workspaces, enforced per slice under leases in the store.
//!
//! Each data centre has one slice, which holds an equal share of every rate and burst. The daemon
//! that holds the lease of a slice keeps its token buckets; all others request tokens from it.

mod handover_message;
mod handover_plan;
mod handover_task;
mod lease_handle;
mod lease_task;
mod limiter;
mod local_slice;
mod messages;
mod share;
mod slice_buckets;
mod slice_holders;
mod slice_lease;
mod slice_levels;
mod slice_row;
mod slice_status;
mod succession;
mod token_call;
mod token_search;

pub use handover_message::{
    HandoverHandler, HandoverMessage, HolderChange, ReleaseResponse, ReleasedSlice,
};
pub use handover_plan::{HandoverPlan, HandoverStep};
pub use lease_handle::LeaseHandle;
pub use lease_task::{LeaseParts, LeaseTask};
pub use limiter::{QuotaLimiter, QuotaParts};
pub use local_slice::{LocalSlice, TakeOutcome};
pub use messages::{TokenHandler, TokenRequest, TokenResponse};
pub use share::SliceShare;
pub use slice_buckets::SliceBuckets;
pub use slice_holders::{HolderRow, SliceHolders};
pub use slice_lease::{SliceLease, LEASE_TERM, RENEW_INTERVAL};
pub use slice_levels::{BucketLevel, SliceLevels};
pub use slice_row::{LeaseHolder, SLICES_TABLE};
pub use slice_status::{SliceStatus, SliceStatusHandler, SliceStatusRequest};
pub use succession::{Succession, SuccessionRank};
pub use token_search::{HolderAddress, SearchHolders, SearchStep, TokenSearch, USUAL_TIMEOUT};
