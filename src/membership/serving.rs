//! The time until which a daemon may serve.

use std::time::Duration;

use crate::clock::BootTime;

/// Time for which a daemon may serve after it last confirmed that it holds the newest revision.
pub const FRESHNESS_LIMIT: Duration = Duration::from_millis(4500);

/// Returns the time until which a daemon may serve.
///
/// It may serve for [`FRESHNESS_LIMIT`] after it began a read of the table that showed no revision
/// higher than its own, or after the time at which a quorum of the members held no higher one. An
/// edit counts as accepted only once a quorum has acknowledged it, and two quorums share a member.
/// So a daemon that still serves has every edit that was accepted longer ago than
/// [`FRESHNESS_LIMIT`].
pub fn serve_until(table_read: Option<BootTime>, quorum_last_heard: Option<BootTime>) -> BootTime {
    let latest = table_read.max(quorum_last_heard);
    latest.map_or(BootTime::default(), |at| at + FRESHNESS_LIMIT)
}
