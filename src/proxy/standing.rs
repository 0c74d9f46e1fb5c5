//! Whether an admitted request may still be sent.

use std::cell::Cell;

use crate::outcome::ErrorKind;

use super::{access_policy::AuthorizedRequest, admit::admit, ProxyContext};

/// An admitted request, which may be sent for as long as its key works and the daemon was not
/// paused behind its admission.
pub(super) struct Standing<'a> {
    /// What the lists allowed.
    pub(super) allowed: &'a AuthorizedRequest,
    request_id: &'a str,
    pauses: Cell<u64>,
}

impl<'a> Standing<'a> {
    /// Notes that the request was admitted now.
    pub(super) fn new(
        cx: &ProxyContext,
        allowed: &'a AuthorizedRequest,
        request_id: &'a str,
    ) -> Self {
        Self {
            allowed,
            request_id,
            pauses: Cell::new(cx.pauses.count()),
        }
    }

    /// Checks the key against the revision in force, and asks for admission again behind a pause.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent.
    pub(super) async fn confirm(&self, cx: &ProxyContext) -> Result<(), ErrorKind> {
        self.check_key(cx)?;
        while self.pauses.get() != cx.pauses.count() {
            self.pauses.set(cx.pauses.count());
            admit(cx, self.allowed, self.request_id)
                .await
                .map_err(|r| r.kind)?;
            self.check_key(cx)?;
        }
        Ok(())
    }

    fn check_key(&self, cx: &ProxyContext) -> Result<(), ErrorKind> {
        cx.policy.reauthorize(self.allowed, cx.clock.now())
    }
}
