//! Messages by which daemons check that the holder of their slice is alive.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    peer::{decode, encode, PeerHandler},
    store::BoxFuture,
};

use super::{HolderChange, LocalSlice};

/// Asks whether a daemon holds the slice of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceStatusRequest {}

/// The response to a [`SliceStatusRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceStatus {
    /// Whether the daemon holds the slice.
    pub held: bool,
    /// The new holder if the daemon has handed the slice over; left out otherwise, as daemons of
    /// earlier builds do.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moved: Option<HolderChange>,
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
            let held = self.slice.is_held(self.clock.now());
            let moved = if held {
                None
            } else {
                self.slice.new_holder().await
            };
            encode(&SliceStatus { held, moved })
        })
    }
}
