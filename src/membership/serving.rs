//! Until when a daemon may serve.

use std::time::Duration;

use crate::clock::BootTime;

/// Time for which a daemon serves behind its last proof that it holds the newest revision.
pub const FRESHNESS_LIMIT: Duration = Duration::from_millis(4500);

/// Returns until when a daemon may serve.
///
/// It may for a while after it began a read of the table that showed no higher revision than its
/// own, and after it knew the same of a quorum of the members. An edit counts as accepted only
/// when a quorum has confirmed it, and two quorums share a member; so a daemon that still serves
/// knows every edit that was accepted longer ago than [`FRESHNESS_LIMIT`].
pub fn serve_until(table_read: Option<BootTime>, quorum_heard: Option<BootTime>) -> BootTime {
    let latest = table_read.max(quorum_heard);
    latest.map_or(BootTime::default(), |at| at + FRESHNESS_LIMIT)
}
