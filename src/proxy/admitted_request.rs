//! Re-check of admitted requests before they are sent.

use std::cell::Cell;

use crate::{clock::BootTime, outcome::ErrorKind};

use super::{access_policy::AuthorizedRequest, admit::admit, ProxyContext};

/// An admitted request, which may be sent while its key is valid and as long as the process was
/// not paused since the admission.
pub(super) struct AdmittedRequest<'a> {
    /// The authorized request.
    pub(super) authorized: &'a AuthorizedRequest,
    request_id: &'a str,
    deadline: BootTime,
    seen_pauses: Cell<u64>,
}

impl<'a> AdmittedRequest<'a> {
    /// Creates an admitted request, with the current time as the time of admission.
    pub(super) fn new(
        cx: &ProxyContext,
        authorized: &'a AuthorizedRequest,
        request_id: &'a str,
        deadline: BootTime,
    ) -> Self {
        Self {
            authorized,
            request_id,
            deadline,
            seen_pauses: Cell::new(cx.pauses.count()),
        }
    }

    /// Checks that the access policy still allows the request, and requests admission again if the
    /// process was paused.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request may not be sent.
    pub(super) async fn recheck(&self, cx: &ProxyContext) -> Result<(), ErrorKind> {
        self.reauthorize(cx)?;
        while self.seen_pauses.get() != cx.pauses.count() {
            self.seen_pauses.set(cx.pauses.count());
            admit(cx, self.authorized, self.request_id, self.deadline)
                .await
                .map_err(|r| r.kind)?;
            self.reauthorize(cx)?;
        }
        Ok(())
    }

    fn reauthorize(&self, cx: &ProxyContext) -> Result<(), ErrorKind> {
        cx.policy.reauthorize(self.authorized, cx.clock.now())
    }
}
