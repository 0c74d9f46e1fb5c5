//! Signals of the operating system.

use std::{io, os::unix::net::UnixStream as StdUnixStream};

use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    low_level::pipe,
};

/// Signals of one kind, as they arrive.
pub struct Signals {
    rx: UnixStream,
}

impl Signals {
    /// Takes over SIGTERM and SIGINT, which ask the process to stop.
    ///
    /// # Errors
    ///
    /// Returns an error when the handlers cannot be set.
    pub fn termination() -> io::Result<Self> {
        Self::of(&[SIGTERM, SIGINT])
    }

    /// Takes over SIGHUP, which tells that the settings file has changed.
    ///
    /// # Errors
    ///
    /// Returns an error when the handler cannot be set.
    pub fn hangup() -> io::Result<Self> {
        Self::of(&[SIGHUP])
    }

    fn of(signals: &[i32]) -> io::Result<Self> {
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
    /// Returns an error when the pipe behind the handlers fails.
    pub async fn next(&mut self) -> io::Result<()> {
        let (res, _) = self.rx.read(vec![0; 1]).await;
        res.map(|_| ())
    }
}
