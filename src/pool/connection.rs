//! One connection to a target.

use std::{
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
    time::Duration,
};

use monoio::{io::Splitable, net::TcpStream, time::timeout};

use crate::{
    clock::BootTime,
    http::{HttpError, HttpReader, HttpWriter},
};

/// One connection to a target.
pub struct TargetConnection {
    /// The reading half.
    pub reader: HttpReader,
    /// The writing half.
    pub writer: HttpWriter,
    /// Address of the target.
    pub address: SocketAddr,
    /// When the connection was opened.
    pub opened_at: BootTime,
    /// Whether it carried a request before.
    pub reused: bool,
    fd: RawFd,
}

impl TargetConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Returns an error when the connection fails or takes longer than `limit`.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        now: BootTime,
    ) -> Result<Self, HttpError> {
        let stream = match timeout(limit, TcpStream::connect_addr(address)).await {
            Ok(res) => res?,
            Err(_) => return Err(HttpError::Timeout),
        };
        let _ = stream.set_nodelay(true);
        let fd = stream.as_raw_fd();
        let (r, w) = stream.into_split();
        Ok(Self {
            reader: HttpReader::new(r),
            writer: HttpWriter::new(w),
            address,
            opened_at: now,
            reused: false,
            fd,
        })
    }

    /// Tells whether the connection is open and no byte waits on it.
    pub fn is_open_and_idle(&self) -> bool {
        if self.reader.has_buffered() {
            return false;
        }
        let mut byte = 0u8;
        // SAFETY: `fd` belongs to the halves that `self` owns, and `byte` outlives the call.
        let n = unsafe {
            libc::recv(
                self.fd,
                std::ptr::from_mut(&mut byte).cast(),
                1,
                libc::MSG_PEEK | libc::MSG_DONTWAIT,
            )
        };
        n < 0 && std::io::Error::last_os_error().kind() == std::io::ErrorKind::WouldBlock
    }
}
