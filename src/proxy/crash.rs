//! Telling the death of a target from the loss of one connection.

use std::{net::SocketAddr, time::Duration};

use http::request;

use crate::{
    http::HttpError, metrics::Counter, outcome::ErrorKind, poison::Fingerprint,
    pool::TargetConnection,
};

use super::{
    dispatch::{Dispatch, DispatchError},
    idempotency::IDEMPOTENCY_KEY,
    request_body::RequestBody,
    ProxyContext,
};

/// Longest time for the connection that shows whether a target is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which that connection must stay open.
const PROBE_QUIET: Duration = Duration::from_millis(20);

/// Tells whether the target at `address`, which just lost a connection, is dead.
///
/// A target whose host cannot be reached is not known to be dead.
pub(super) async fn target_died(cx: &ProxyContext, address: SocketAddr) -> bool {
    if cx.pool.all_recent_closed(address).await {
        return true;
    }
    cx.metrics.count(Counter::TargetConnections);
    match TargetConnection::open(address, PROBE_TIMEOUT, cx.clock.now()).await {
        Err(HttpError::Timeout) => false,
        Err(_) => true,
        Ok(conn) => {
            monoio::time::sleep(PROBE_QUIET).await;
            !conn.is_open_and_idle()
        }
    }
}

impl Dispatch<'_> {
    /// Returns the fingerprint of the request.
    pub(super) fn fingerprint(&self, head: &request::Parts, body: &RequestBody) -> Fingerprint {
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let key = head.headers.get(IDEMPOTENCY_KEY).map(|v| v.as_bytes());
        let content = body.whole().or(key).unwrap_or_default();
        Fingerprint::new(&self.workspace(), head.method.as_str(), path, content)
    }

    /// Refuses a request that crashes targets.
    ///
    /// # Errors
    ///
    /// Returns the refusal.
    pub(super) fn check_poison(
        &self,
        head: &request::Parts,
        body: &RequestBody,
    ) -> Result<(), DispatchError> {
        let poison = &self.cx.poison;
        if poison.is_empty() || !poison.is_refused(self.fingerprint(head, body)) {
            return Ok(());
        }
        Err(DispatchError::Failed(ErrorKind::CrashesTargets))
    }

    /// Takes note that a target answered the request.
    pub(super) fn clear_suspicion(&self, head: &request::Parts, body: &RequestBody) {
        if !self.cx.poison.is_empty() {
            self.cx.poison.record_answer(self.fingerprint(head, body));
        }
    }
}
