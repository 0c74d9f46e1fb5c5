//! The task that requests heartbeats from other daemons while the table cannot be read.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    membership::HeartbeatReport,
    metrics::Counter,
    peer::{MessageKind, PeerError},
};

use super::{messages::PeerAddress, replica::Replica, spread::all_daemons};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(700);
/// Daemons from which a heartbeat is requested in a round.
const FANOUT: usize = 3;
/// Time since the last read of the table that showed the revision held as the newest, beyond the
/// interval between reads, after which heartbeats are requested.
const READ_OVERDUE: Duration = Duration::from_millis(600);
/// Timeout of one request.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Requests heartbeats from other daemons whenever the table cannot be read, until the daemon
/// exits.
pub(super) async fn heartbeat_task(replica: Rc<Replica>) {
    let mut queue: Vec<PeerAddress> = Vec::new();
    loop {
        monoio::time::sleep(ROUND_INTERVAL).await;
        let age = replica.table_read_age();
        let limit = replica.poll_interval() + READ_OVERDUE;
        if replica.held().is_none() || age.is_some_and(|age| age < limit) {
            continue;
        }
        for _ in 0..FANOUT {
            if queue.is_empty() {
                queue = all_daemons(&replica);
                fastrand::shuffle(&mut queue);
            }
            let Some(next) = queue.pop() else { break };
            let directory = replica.parts.peers.directory();
            let address = directory.address_of(&next.host, next.address);
            let replica = replica.clone();
            monoio::spawn(async move {
                let _ = request_heartbeat(&replica, address).await;
            });
        }
    }
}

/// Requests a heartbeat from one daemon, and fetches its newer edits, if any.
async fn request_heartbeat(replica: &Replica, address: SocketAddr) -> Result<(), PeerError> {
    let requested = replica.now();
    replica.parts.metrics.count(Counter::ContactQuestions);
    let peers = &replica.parts.peers;
    let report: HeartbeatReport = peers
        .call_address(address, MessageKind::Heartbeat, &(), HEARTBEAT_TIMEOUT)
        .await?;
    if replica.held() < Some(report.revision) {
        replica.fetch_edits(address).await?;
    }
    replica.record_heartbeat(&report, requested);
    replica.refresh_serving();
    Ok(())
}
