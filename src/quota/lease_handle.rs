//! Handle of the task that writes the lease of the local slice.

use std::{cell::Cell, rc::Rc};

use local_sync::{mpsc, oneshot};

use crate::{clock::BootTime, lifecycle::ShutdownSignal, store::StoreVersion};

use super::ReleasedSlice;

/// A slice offered by its holder, with the channel for the version of the row that made this daemon
/// the holder.
pub(super) struct SliceOffer {
    pub(super) slice: ReleasedSlice,
    pub(super) reply: oneshot::Sender<Option<StoreVersion>>,
}

/// Handle of the task that writes the lease of the local slice.
#[derive(Clone)]
pub struct LeaseHandle {
    offers: mpsc::unbounded::Tx<SliceOffer>,
    pub(super) stop: ShutdownSignal,
    pub(super) stopped: ShutdownSignal,
    pub(super) end: Rc<Cell<BootTime>>,
}

impl LeaseHandle {
    /// Creates a handle and the receiver of its offers.
    pub(super) fn new() -> (Self, mpsc::unbounded::Rx<SliceOffer>) {
        let (offers, rx) = mpsc::unbounded::channel();
        let handle = Self {
            offers,
            stop: ShutdownSignal::default(),
            stopped: ShutdownSignal::default(),
            end: Rc::default(),
        };
        (handle, rx)
    }

    /// Takes over a slice that its holder has released, and returns the version of the row that
    /// made this daemon the holder; `None` if it is leaving itself or the row could not be written.
    pub async fn take_over(&self, slice: ReleasedSlice) -> Option<StoreVersion> {
        if self.stop.is_triggered() {
            return None;
        }
        let (reply, rx) = oneshot::channel();
        let _ = self.offers.send(SliceOffer { slice, reply });
        rx.await.ok().flatten()
    }

    /// Stops the task, which hands the slice over by `end` if this daemon holds it, and waits for
    /// the end of the handover.
    pub async fn stop(&self, end: BootTime) {
        self.end.set(end);
        self.stop.trigger();
        self.stopped.wait().await;
    }
}
