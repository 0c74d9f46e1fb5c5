//! Stop signals of the operating system.

use std::{io, os::unix::net::UnixStream as StdUnixStream};

use monoio::{io::AsyncReadRent, net::UnixStream};
use signal_hook::{
    consts::{SIGINT, SIGTERM},
    low_level::pipe,
};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error when the handlers cannot be set.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let (rx, tx) = StdUnixStream::pair()?;
    rx.set_nonblocking(true)?;
    pipe::register(SIGTERM, tx.try_clone()?)?;
    pipe::register(SIGINT, tx)?;
    let mut rx = UnixStream::from_std(rx)?;
    let (res, _) = rx.read(vec![0; 1]).await;
    res.map(|_| ())
}
