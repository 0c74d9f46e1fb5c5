//! Messages by which a daemon that leaves hands over its roles.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::{
    clock::Clock,
    follow::LeavingReaders,
    peer::{decode, encode, FleetBroadcast, MessageKind, PeerHandler},
    store::{BoxFuture, StoreVersion},
};

use super::{LeaseHandle, SliceHolders, SliceLevels};

/// A message from a daemon that leaves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// Gives a slice to the receiver, which holds it once its write of the lease row is committed.
    Release(ReleasedSlice),
    /// Names the new holder of a slice.
    Moved(HolderChange),
    /// The sender leaves and reads the store for its data centre no longer.
    ReaderLeaving,
}

/// A slice whose holder has stopped granting its tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReleasedSlice {
    /// Data centre of the slice.
    pub data_centre: String,
    /// Version of the lease row; the receiver may write the row only if it is unchanged
    /// and the store is still in the era.
    pub version: StoreVersion,
    /// Levels of the buckets when the slice was released.
    pub levels: SliceLevels,
}

/// The new holder of a slice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderChange {
    /// Data centre of the slice.
    pub data_centre: String,
    /// Host that holds it.
    pub host: String,
    /// Version of the rows that made it the holder.
    pub version: StoreVersion,
    /// Whether the receiver passes the message on within its data centre.
    pub relayed: bool,
}

/// The response to [`HandoverMessage::Release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseResponse {
    /// Version of the row that made the receiver the holder; `None` if it is not.
    pub version: Option<StoreVersion>,
}

/// Handles messages of daemons that leave.
pub struct HandoverHandler {
    /// The task that writes the lease row.
    pub lease: LeaseHandle,
    /// The holders of all slices.
    pub holders: SliceHolders,
    /// Readers of the data centre that leave.
    pub leaving_readers: LeavingReaders,
    /// Broadcast within the data centre.
    pub broadcast: FleetBroadcast,
    /// Clock.
    pub clock: Rc<dyn Clock>,
}

impl HandoverHandler {
    fn on_moved(&self, mut change: HolderChange) {
        self.holders.announce(&change, self.clock.now());
        if std::mem::take(&mut change.relayed) {
            let broadcast = self.broadcast.clone();
            monoio::spawn(async move {
                let msg = HandoverMessage::Moved(change);
                broadcast
                    .broadcast_to_data_centre(MessageKind::Handover, &msg)
                    .await;
            });
        }
    }
}

impl PeerHandler for HandoverHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            match decode(body)? {
                HandoverMessage::Release(slice) => {
                    let version = self.lease.take_over(slice).await;
                    encode(&ReleaseResponse { version })
                }
                HandoverMessage::Moved(change) => {
                    self.on_moved(change);
                    encode(&())
                }
                HandoverMessage::ReaderLeaving => {
                    self.leaving_readers.report(from);
                    encode(&())
                }
            }
        })
    }
}
