//! The daemons, from start to shutdown.

mod front;
mod front_base;
mod front_shutdown;
mod front_tables;
mod health_parts;
mod native;
mod runtime;

use std::{io, net::SocketAddr};

pub use front::run_front;
pub use native::run_native;

/// Reason why a daemon failed.
#[derive(Debug)]
pub enum DaemonError {
    /// An address could not be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// Kind of the error.
        kind: io::ErrorKind,
    },
    /// Another system call failed.
    Io(io::ErrorKind),
}

impl From<io::Error> for DaemonError {
    fn from(e: io::Error) -> Self {
        Self::Io(e.kind())
    }
}
