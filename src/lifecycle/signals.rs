//! Operating system signals.

use std::{io, os::unix::net::UnixStream as StdUnixStream};

use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// Stream of received signals of one purpose.
pub struct Signals {
    rx: UnixStream,
}

impl Signals {
    /// Handles SIGTERM and SIGINT, which request termination.
    ///
    /// # Errors
    ///
    /// Returns an error if the handlers cannot be installed.
    pub fn termination() -> io::Result<Self> {
        Self::register(&[SIGTERM, SIGINT])
    }

    /// Handles SIGHUP, which announces a changed settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the handler cannot be installed.
    pub fn hangup() -> io::Result<Self> {
        Self::register(&[SIGHUP])
    }

    fn register(signals: &[i32]) -> io::Result<Self> {
        let (rx, tx) = StdUnixStream::pair()?;
        rx.set_nonblocking(true)?;
        for signal in signals {
            pipe::register(*signal, tx.try_clone()?)?;
        }
        let rx = UnixStream::from_std(rx)?;
        Ok(Self { rx })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// Returns an error if the pipe written by the handlers fails.
    pub async fn next(&mut self) -> io::Result<()> {
        let (res, _) = self.rx.read(vec![0; 1]).await;
        res.map(|_| ())
    }
}
