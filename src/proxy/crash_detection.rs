//! Detection of target crashes, as opposed to the loss of a single connection.

use std::{net::SocketAddr, time::Duration};

use http::{request, StatusCode};

use crate::{
    http::HttpError,
    metrics::Counter,
    outcome::ErrorKind,
    poison::{Fingerprint, Refusal},
    pool::TargetConnection,
};

use super::{
    dispatch::{Dispatch, DispatchError},
    idempotency::IDEMPOTENCY_KEY,
    request_body::RequestBody,
    ProxyContext,
};

/// Timeout for opening the connection that probes whether a target is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which the probe connection must stay open.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(20);

/// Returns whether the target at `address`, which just lost a connection, has crashed.
///
/// A target is not considered crashed if the probe times out, since its host may be unreachable.
pub(super) async fn target_crashed(cx: &ProxyContext, address: SocketAddr) -> bool {
    if cx.pool.all_recent_closed(address).await {
        return true;
    }
    cx.metrics.count(Counter::TargetConnections);
    match TargetConnection::open(address, PROBE_TIMEOUT, cx.clock.now()).await {
        Err(HttpError::Timeout) => false,
        Err(_) => true,
        Ok(conn) => {
            monoio::time::sleep(PROBE_OPEN_TIME).await;
            !conn.is_open_and_idle()
        }
    }
}

impl From<Refusal> for DispatchError {
    fn from(refusal: Refusal) -> Self {
        let (kind, retry_after) = refusal_error(refusal);
        Self::Unavailable(kind, retry_after)
    }
}

/// Returns the error of a refused request, and the time after which it may be accepted.
pub(super) fn refusal_error(refusal: Refusal) -> (ErrorKind, Duration) {
    match refusal {
        Refusal::HeldBack(left) => (ErrorKind::CrashSuspected, left),
        Refusal::Confirmed(left) => (ErrorKind::CrashesTargets, left),
    }
}

impl Dispatch<'_> {
    /// Computes the fingerprint of the request.
    pub(super) fn fingerprint(&self, head: &request::Parts, body: &RequestBody) -> Fingerprint {
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let key = head.headers.get(IDEMPOTENCY_KEY).map(|v| v.as_bytes());
        let content = body.whole().or(key).unwrap_or_default();
        Fingerprint::new(&self.workspace(), head.method.as_str(), path, content)
    }

    /// Checks that the request is not known to crash targets.
    ///
    /// # Errors
    ///
    /// Returns how the request is refused.
    pub(super) fn check_poison(
        &self,
        head: &request::Parts,
        body: &RequestBody,
    ) -> Result<(), Refusal> {
        let poison = &self.cx.poison;
        if poison.is_empty() {
            return Ok(());
        }
        poison
            .refusal(self.fingerprint(head, body))
            .map_or(Ok(()), Err)
    }

    /// Records that the request is about to be sent; returns whether it is sent as a test of whether
    /// it crashes targets.
    pub(super) fn begin_poison_test(&self, head: &request::Parts, body: &RequestBody) -> bool {
        let poison = &self.cx.poison;
        !poison.is_empty() && poison.begin_test(self.fingerprint(head, body))
    }

    /// Records that a target answered the request with `status`, which clears a suspicion. An error
    /// of the target does not, as it may not have run the request.
    pub(super) fn clear_suspicion(
        &self,
        head: &request::Parts,
        body: &RequestBody,
        status: StatusCode,
    ) {
        if !status.is_server_error() && !self.cx.poison.is_empty() {
            self.cx.poison.record_answer(self.fingerprint(head, body));
        }
    }
}
