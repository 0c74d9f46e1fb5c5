//! Write half of an HTTP/1.1 connection.

use std::os::fd::AsRawFd;

use bytes::{Bytes, BytesMut};
use monoio::{
    io::{AsyncWriteRent, AsyncWriteRentExt, OwnedWriteHalf},
    net::TcpStream,
};

use super::{Framing, HttpError};

/// Write half of an HTTP/1.1 connection.
pub struct HttpWriter {
    io: OwnedWriteHalf<TcpStream>,
}

impl HttpWriter {
    /// Wraps the write half of a socket.
    pub fn new(io: OwnedWriteHalf<TcpStream>) -> Self {
        Self { io }
    }

    /// Writes `buf` unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn write(&mut self, buf: Bytes) -> Result<(), HttpError> {
        let (res, _) = self.io.write_all(buf).await;
        res?;
        Ok(())
    }

    /// Writes one part of a body with the given framing.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn write_part(&mut self, framing: Framing, part: Bytes) -> Result<(), HttpError> {
        if part.is_empty() {
            return Ok(());
        }
        if framing != Framing::Chunked {
            return self.write(part).await;
        }
        let mut buf = BytesMut::with_capacity(part.len() + 20);
        buf.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        buf.extend_from_slice(&part);
        buf.extend_from_slice(b"\r\n");
        self.write(buf.freeze()).await
    }

    /// Ends a body with the given framing.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Io`] if the socket fails.
    pub async fn finish_body(&mut self, framing: Framing) -> Result<(), HttpError> {
        if framing == Framing::Chunked {
            return self.write(Bytes::from_static(b"0\r\n\r\n")).await;
        }
        Ok(())
    }

    /// Resets the connection, so that a truncated message does not look complete to the peer.
    ///
    /// Connecting to an `AF_UNSPEC` address makes the kernel reset the connection. `SO_LINGER` does
    /// not work here: dropping the half shuts its direction down cleanly first.
    pub fn abort(&mut self) {
        // SAFETY: both halves are on one thread, and the reference does not outlive this statement.
        let fd = unsafe { &*self.io.0.get() }.as_raw_fd();
        // SAFETY: all fields of `sockaddr` are integers, for which zero is valid.
        let mut unspecified: libc::sockaddr = unsafe { std::mem::zeroed() };
        unspecified.sa_family = libc::AF_UNSPEC as libc::sa_family_t;
        let len = size_of::<libc::sockaddr>() as libc::socklen_t;
        // SAFETY: `fd` is open while `self` lives, and `unspecified` outlives the call.
        unsafe { libc::connect(fd, std::ptr::from_ref(&unspecified), len) };
    }

    /// Shuts down the write direction of the socket.
    pub async fn shutdown(&mut self) {
        let _ = self.io.shutdown().await;
    }
}
