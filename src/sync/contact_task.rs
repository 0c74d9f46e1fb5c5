//! The task that hears other daemons while the table cannot be read.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    membership::HeartbeatReport,
    metrics::Counter,
    peer::{MessageKind, PeerError},
};

use super::{messages::PeerAddress, replica::Replica, spread::all_daemons};

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(700);
/// Daemons that are asked in a round.
const FANOUT: usize = 3;
/// Time since the last read of the table that showed the newest revision, beyond the interval of
/// such reads, after which others are asked.
const READ_OVERDUE: Duration = Duration::from_millis(600);
/// Longest time for an answer.
const ASK_LIMIT: Duration = Duration::from_millis(1000);

/// Asks other daemons for their revisions whenever the table cannot be read, until the daemon ends.
pub(super) async fn contact_task(replica: Rc<Replica>) {
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
                let _ = ask(&replica, address).await;
            });
        }
    }
}

/// Asks one daemon, and adopts what it holds beyond this one.
async fn ask(replica: &Replica, address: SocketAddr) -> Result<(), PeerError> {
    let asked = replica.now();
    replica.parts.metrics.count(Counter::ContactQuestions);
    let peers = &replica.parts.peers;
    let report: HeartbeatReport = peers
        .call_address(address, MessageKind::Heartbeat, &(), ASK_LIMIT)
        .await?;
    if replica.held() < Some(report.revision) {
        replica.fetch_edits(address).await?;
    }
    replica.record_heartbeat(&report, asked);
    replica.refresh_serving();
    Ok(())
}
