//! Rates of workspaces over the whole fleet, counted by slices that are leased in the store.
//!
//! Each data centre has one slice, which holds an equal part of every rate and burst. The daemon
//! that holds the lease of a slice counts it; all others ask it for tokens.

mod lease_task;
mod limiter;
mod local_slice;
mod messages;
mod share;
mod slice_buckets;
mod slice_holders;
mod slice_lease;
mod slice_row;

pub use lease_task::{LeaseParts, LeaseTask};
pub use limiter::{QuotaLimiter, QuotaParts};
pub use local_slice::LocalSlice;
pub use messages::{TokenHandler, TokenRequest, TokenResponse};
pub use share::SliceShare;
pub use slice_buckets::SliceBuckets;
pub use slice_holders::{HolderRow, SliceHolders};
pub use slice_lease::{SliceLease, LEASE_TERM, RENEW_INTERVAL};
pub use slice_row::{LeaseHolder, SLICES_TABLE};
