//! Messages by which daemons check that the holder of their slice is alive.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::LocalSlice;

/// Asks whether a daemon holds the slice of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceStatusRequest {}

/// The response to a [`SliceStatusRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceStatus {
    /// Whether the daemon holds the slice.
    pub held: bool,
}

/// Answers slice status requests of other daemons.
pub struct SliceStatusHandler {
    /// The slice of the local data centre.
    pub slice: LocalSlice,
    /// Clock.
    pub clock: Rc<dyn Clock>,
}

impl PeerHandler for SliceStatusHandler {
    fn handle<'a>(&'a self, _: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let _: SliceStatusRequest = decode(body)?;
            encode(&SliceStatus {
                held: self.slice.is_held(self.clock.now()),
            })
        })
    }
}
