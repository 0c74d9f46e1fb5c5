//! Dispatch of received messages to their handlers.

use std::rc::Rc;

use rustc_hash::FxHashMap;
use serde::{de::DeserializeOwned, Serialize};

use crate::store::BoxFuture;

use super::{Envelope, MessageKind};

/// Handles messages of one kind.
pub trait PeerHandler {
    /// Handles a message from the daemon on host `from`; `None` refuses it.
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>>;
}

/// Encodes a body; logs an error and returns `None` if it cannot be encoded.
pub fn encode(body: &impl Serialize) -> Option<Vec<u8>> {
    rmp_serde::to_vec(body)
        .inspect_err(|e| log::error!("cannot encode a message to a peer: {e}"))
        .ok()
}

/// Decodes a body; `None` if it is malformed.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    rmp_serde::from_slice(body).ok()
}

/// Encodes a body that is followed by an extension, which daemons of builds that do not know it
/// ignore. `None` for the extension leaves the bytes of the body as they are.
pub fn encode_extended(
    body: &impl Serialize,
    extension: Option<&impl Serialize>,
) -> Option<Vec<u8>> {
    let mut bytes = encode(body)?;
    if let Some(extension) = extension {
        bytes.extend(encode(extension)?);
    }
    Some(bytes)
}

/// Decodes a body and the extension behind it; `None` if the body is malformed. An extension that
/// is missing or malformed is `None`.
pub fn decode_extended<T: DeserializeOwned, E: DeserializeOwned>(
    mut bytes: &[u8],
) -> Option<(T, Option<E>)> {
    let body = rmp_serde::from_read(&mut bytes).ok()?;
    let extension = (!bytes.is_empty()).then(|| decode(bytes)).flatten();
    Some((body, extension))
}

/// Maps each message kind to its handler.
#[derive(Default, Clone)]
pub struct PeerRouter {
    handlers: Rc<FxHashMap<MessageKind, Rc<dyn PeerHandler>>>,
}

impl PeerRouter {
    /// Registers the handler of a kind, replacing an earlier one.
    pub fn register(&mut self, kind: MessageKind, handler: Rc<dyn PeerHandler>) {
        let handlers = Rc::make_mut(&mut self.handlers);
        handlers.insert(kind, handler);
    }

    /// Passes one message to its handler and returns the reply.
    pub(super) async fn handle(&self, from: &str, msg: &Envelope) -> Envelope {
        let handler = self.handlers.get(&msg.kind);
        let body = match (handler, &msg.body) {
            (Some(handler), Some(body)) => handler.handle(from, body).await,
            _ => None,
        };
        Envelope {
            kind: msg.kind,
            body,
        }
    }
}
