//! Task that probes targets.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;

use crate::{
    http::{call, CallRequest},
    proxy::HeadFormat,
};

use super::{BalancerHandle, BalancerMessage, TargetId};

/// Interval at which the balancer is asked for targets to probe.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the response to a probe.
const MAX_RESPONSE_BYTES: usize = 4096;
/// Path of the health check on targets.
const PROBE_PATH: &str = "/healthz";

/// Repeatedly probes the targets that the balancer selects; never returns.
pub async fn probe_task(balancer: BalancerHandle, heads: Rc<dyn HeadFormat>) {
    loop {
        monoio::time::sleep(POLL_INTERVAL).await;
        let probes = balancer.targets_to_probe().await;
        let running: Vec<_> = probes
            .into_iter()
            .map(|(id, address)| monoio::spawn(probe(balancer.clone(), heads.clone(), id, address)))
            .collect();
        for probe in running {
            probe.await;
        }
    }
}

async fn probe(
    balancer: BalancerHandle,
    heads: Rc<dyn HeadFormat>,
    id: TargetId,
    address: SocketAddr,
) {
    let req = CallRequest {
        method: Method::GET,
        path: PROBE_PATH,
        headers: &[],
        body: Bytes::new(),
        timeout: PROBE_TIMEOUT,
        transfer: None,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let response = call(address, &req).await;
    let healthy = response.as_ref().is_ok_and(|r| r.status.is_success());
    let response = response.ok();
    let reported = response.as_ref();
    let state = reported.and_then(|r| heads.target_report(r.status, &r.headers).state);
    let warmup_left = reported.and_then(|r| heads.warmup_left(r.status, &r.headers));
    balancer.send(BalancerMessage::ProbeResult {
        id,
        healthy,
        state,
        warmup_left,
    });
}
