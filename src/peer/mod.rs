//! Messages between the daemons of the fleet.
//!
//! HTTP with MessagePack bodies on kept connections. A nonce of the receiving side, a sequence
//! number and a message authentication code on each exchange keep out strangers and replays.

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
pub use handler::{decode, encode, PeerHandler, PeerRouter};
pub use server::{peer_server_task, PeerServer};
