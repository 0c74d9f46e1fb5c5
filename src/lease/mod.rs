//! Leases on slices of the rate limits: which daemon owns which slice, and for how long.
//!
//! The module is free of I/O: time, rows and results of writes are passed in as arguments.

mod lease_phase;
mod placement;
mod portion;
mod session_id;
mod session_lease;
mod session_row;
mod session_watch;
mod slice_id;
mod slice_row;
mod terms;

pub use lease_phase::LeasePhase;
pub use placement::{preferred_host, rank_hosts, Candidate};
pub use portion::{retained_portions, transferable_portions, Portion, PARTS_PER_SLICE};
pub use session_id::SessionId;
pub use session_lease::{Renewal, SessionLease};
pub use session_row::SessionRow;
pub use session_watch::SessionWatch;
pub use slice_id::{partition_of, SliceId, PARTITION_COUNT, SLICES_PER_PARTITION};
pub use slice_row::{RetainedShare, SliceRow};
pub use terms::LeaseTerms;
