//! Claiming a request before it is sent to targets.

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
    dispatch::{Dispatch, DispatchError, TargetAnswer},
    idempotency::IDEMPOTENCY_KEY,
    request_body::RequestBody,
};

/// Longest time that an answer waits for the release of its claim.
const RELEASE_WAIT: Duration = Duration::from_secs(1);

impl Dispatch<'_> {
    /// Refuses the request if it crashes targets, claims it where it must not run twice and
    /// carries an idempotency key, and sends it to targets.
    ///
    /// # Errors
    ///
    /// Returns why there is no target's answer.
    pub(super) async fn serve(
        &self,
        head: &mut request::Parts,
        body: &mut RequestBody,
        caller: &mut HttpReader,
    ) -> Result<TargetAnswer, DispatchError> {
        self.check_poison(head, body)?;
        let claim = match (&self.cx.claims, self.claim_key(head)?) {
            (Some(store), Some(key)) => Some(self.claim(store, key, digest_of(head, body)).await?),
            _ => None,
        };
        let end = self.run(head, body, caller).await;
        if end.result.is_ok() {
            self.clear_suspicion(head, body);
        }
        if let (Some(store), Some(claim)) = (&self.cx.claims, claim) {
            self.end_claim(store, claim, &end.result, end.may_have_run)
                .await;
        }
        end.result
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

    /// Claims the run; a claim that is given too late for the deadline is released again.
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
            let claimed = store.claim(key, digest, &request_id).await;
            if let Err(Ok(late)) = tx.send(claimed) {
                store.release(late).await;
            }
        });
        let left = self.deadline.left(self.cx.clock.now());
        match timeout(left, rx).await {
            Ok(Ok(Ok(claim))) => Ok(claim),
            Ok(Ok(Err(refusal))) => Err(refused(refusal)),
            Ok(Err(_)) | Err(_) => Err(DispatchError::Failed(ErrorKind::ClaimUnavailable)),
        }
    }

    /// Notes the end of a claimed request.
    ///
    /// A release is awaited for a while, so that a caller who sends the request again at once
    /// finds the claim released. A claim whose request may have run without an answer stays.
    async fn end_claim(
        &self,
        store: &ClaimStore,
        claim: Claim,
        result: &Result<TargetAnswer, DispatchError>,
        may_have_run: bool,
    ) {
        let store = store.clone();
        let in_flight = self.cx.in_flight.try_acquire();
        if let Ok(answer) = result {
            let status = answer.head.status.as_u16();
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
        let _ = timeout(RELEASE_WAIT, rx).await;
    }
}

fn refused(refusal: ClaimRefusal) -> DispatchError {
    let kind = refusal.error_kind();
    match refusal {
        ClaimRefusal::Held(first) => DispatchError::Held(kind, first),
        ClaimRefusal::Unavailable | ClaimRefusal::Mismatch => DispatchError::Failed(kind),
    }
}

fn digest_of(head: &request::Parts, body: &RequestBody) -> RequestDigest {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    RequestDigest::new(head.method.as_str(), path, body.whole())
}
