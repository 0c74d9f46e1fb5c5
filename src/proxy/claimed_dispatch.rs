//! Claims of requests that must run at most once.

use std::time::Duration;

use http::request;
use local_sync::oneshot;
use monoio::time::timeout;

use crate::{
    claim::{Claim, ClaimKey, ClaimRefusal, ClaimStore, RequestDigest, MAX_KEY_BYTES},
    http::HttpReader,
    outcome::ErrorKind,
};

use super::{
    dispatch::{Dispatch, DispatchError, TargetResponse},
    idempotency::IDEMPOTENCY_KEY,
    request_body::RequestBody,
};

/// Maximum time that a response waits for the release of its claim.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl Dispatch<'_> {
    /// Sends the request to targets. Refuses it if it is known to crash targets, and claims it
    /// first if it is not repeatable and carries an idempotency key.
    ///
    /// # Errors
    ///
    /// Returns the reason if no target answered.
    pub(super) async fn serve(
        &self,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> Result<TargetResponse, DispatchError> {
        self.check_poison(head, body)?;
        let claim = match (&self.cx.claims, self.claim_key(head)?) {
            (Some(store), Some(key)) => {
                Some(self.claim(store, key, request_digest(head, body)).await?)
            }
            _ => None,
        };
        let run = self.send_to_targets(head, body, caller).await;
        if let Ok(response) = &run.result {
            self.clear_suspicion(head, body, response.started.head.status);
        }
        if let (Some(store), Some(claim)) = (&self.cx.claims, claim) {
            self.settle_claim(store, claim, &run.result, run.may_have_run)
                .await;
        }
        run.result
    }

    fn claim_key(&self, head: &request::Parts) -> Result<Option<ClaimKey>, DispatchError> {
        if self.repeatable {
            return Ok(None);
        }
        let mut values = head.headers.get_all(IDEMPOTENCY_KEY).iter();
        let Some(value) = values.next() else {
            return Ok(None);
        };
        let key = value.as_bytes();
        if values.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(DispatchError::Failed(ErrorKind::BadRequest));
        }
        Ok(Some(ClaimKey::new(&self.workspace(), self.service(), key)))
    }

    /// Claims the request; a claim that is acquired only after the deadline is released again.
    async fn claim(
        &self,
        store: &ClaimStore,
        key: ClaimKey,
        digest: RequestDigest,
    ) -> Result<Claim, DispatchError> {
        let store = store.clone();
        let request_id = self.request_id.to_owned();
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            let res = store.claim(key, digest, &request_id).await;
            if let Err(Ok(late)) = tx.send(res) {
                store.release(late).await;
            }
        });
        let left = self.deadline.left(self.cx.clock.now());
        match timeout(left, rx).await {
            Ok(Ok(Ok(claim))) => Ok(claim),
            Ok(Ok(Err(refusal))) => Err(claim_error(refusal)),
            Ok(Err(_)) | Err(_) => Err(DispatchError::Failed(ErrorKind::ClaimUnavailable)),
        }
    }

    /// Finishes or releases the claim at the end of its request.
    ///
    /// Waits up to [`RELEASE_TIMEOUT`] for a release, so that a caller that retries immediately
    /// finds the claim released. The claim of a request that may have run without a response is
    /// kept.
    async fn settle_claim(
        &self,
        store: &ClaimStore,
        claim: Claim,
        result: &Result<TargetResponse, DispatchError>,
        may_have_run: bool,
    ) {
        let store = store.clone();
        let in_flight = self.cx.in_flight.try_acquire();
        if let Ok(response) = result {
            let status = response.started.head.status.as_u16();
            monoio::spawn(async move {
                store.finish(claim, status).await;
                drop(in_flight);
            });
            return;
        }
        if may_have_run {
            return;
        }
        let (tx, rx) = oneshot::channel();
        monoio::spawn(async move {
            store.release(claim).await;
            let _ = tx.send(());
            drop(in_flight);
        });
        let _ = timeout(RELEASE_TIMEOUT, rx).await;
    }
}

fn claim_error(refusal: ClaimRefusal) -> DispatchError {
    let kind = refusal.error_kind();
    match refusal {
        ClaimRefusal::Held(first) => DispatchError::ClaimConflict(kind, first),
        ClaimRefusal::Unavailable | ClaimRefusal::Mismatch => DispatchError::Failed(kind),
    }
}

fn request_digest(head: &request::Parts, body: &RequestBody) -> RequestDigest {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    RequestDigest::new(head.method.as_str(), path, body.whole())
}
