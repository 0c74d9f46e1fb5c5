//! Channel for the names of readers that leave.

use std::rc::Rc;

use local_sync::mpsc;

/// Passes the names of readers that leave on to the [`ReaderTask`](super::ReaderTask).
#[derive(Clone)]
pub struct LeavingReaders {
    tx: mpsc::unbounded::Tx<Rc<str>>,
}

impl LeavingReaders {
    /// Creates the channel.
    pub fn new() -> (Self, mpsc::unbounded::Rx<Rc<str>>) {
        let (tx, rx) = mpsc::unbounded::channel();
        (Self { tx }, rx)
    }

    /// Reports that the daemon on `host` leaves.
    pub fn report(&self, host: &str) {
        let _ = self.tx.send(Rc::from(host));
    }
}
