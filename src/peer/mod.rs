//! Messages between the daemons of the fleet.
//!
//! HTTP with MessagePack bodies over persistent connections. Each exchange carries a message
//! authentication code over the receiver's nonce and a sequence number, which rejects
//! unauthenticated and replayed messages.

mod auth;
mod broadcast;
mod client;
mod connection;
mod directory;
mod envelope;
mod error;
mod handler;
mod lane;
mod server;

pub use auth::{FleetSecrets, Nonce};
pub use broadcast::FleetBroadcast;
pub use client::PeerClient;
pub use directory::{Peer, PeerDirectory};
pub use envelope::{Envelope, MessageKind};
pub use error::PeerError;
pub use handler::{decode, decode_extended, encode, encode_extended, PeerHandler, PeerRouter};
pub use server::{peer_server_task, PeerServer};
