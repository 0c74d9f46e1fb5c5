//! The task that polls the platform's list of hosts.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;

use crate::{
    health::{BalancerHandle, BalancerMessage},
    limit::LimiterMessage,
    metrics::{Counter, Metrics},
    peer::PeerDirectory,
    store::HostList,
};

/// Time between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Reads the list again and again, and passes it on; the last one stands while reads fail.
pub async fn host_list_task(
    list: Rc<dyn HostList>,
    balancer: BalancerHandle,
    directory: PeerDirectory,
    limiter: mpsc::unbounded::Tx<LimiterMessage>,
    metrics: Rc<Metrics>,
) {
    loop {
        match list.hosts().await {
            Ok(hosts) => {
                let daemons = hosts.iter().filter(|h| h.service.is_none() && !h.leaving);
                directory.set_hosts(&hosts);
                let _ = limiter.send(LimiterMessage::SetDaemonCount(daemons.count()));
                balancer.send(BalancerMessage::SetTargets(Rc::new(hosts)));
            }
            Err(e) => {
                metrics.count(Counter::StoreErrors);
                log::warn!("host list: {e}");
            }
        }
        monoio::time::sleep(POLL_INTERVAL).await;
    }
}
