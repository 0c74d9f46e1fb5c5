//! The task that probes targets.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::Method;

use crate::{
    http::{call, CallRequest},
    proxy::HeadFormat,
};

use super::{BalancerHandle, BalancerMessage, TargetId};

/// Time between two looks at which targets to probe.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time of one probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes of an answer to a probe.
const MAX_ANSWER_BYTES: usize = 4096;
/// Path that targets answer probes on.
const PROBE_PATH: &str = "/healthz";

/// Probes the targets that the balancer names, again and again.
pub async fn probe_task(balancer: BalancerHandle, heads: Rc<dyn HeadFormat>) {
    loop {
        monoio::time::sleep(LOOK_INTERVAL).await;
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
        max_response_bytes: MAX_ANSWER_BYTES,
    };
    let answer = call(address, &req).await;
    let healthy = answer.as_ref().is_ok_and(|a| a.status.is_success());
    let state = answer
        .ok()
        .and_then(|a| heads.target_report(&a.headers).state);
    balancer.send(BalancerMessage::ProbeResult { id, healthy, state });
}
