//! Leases on the slices of rates: pure decisions on who owns what, and for how long.
//!
//! Time, rows and answers come in as arguments; nothing here owns a socket or reads a clock.

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
