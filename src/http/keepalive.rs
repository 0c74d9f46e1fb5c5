//! Detection of unreachable peers on idle connections.

use std::{io, os::fd::AsRawFd, time::Duration};

use monoio::net::TcpStream;

/// Idle time after which the kernel sends keepalive probes, s; the kernel's minimum.
const KEEPALIVE_IDLE_S: libc::c_int = 1;
/// Interval between probes, s; the kernel's minimum.
const KEEPALIVE_INTERVAL_S: libc::c_int = 1;
/// Number of unanswered probes after which the connection fails.
const KEEPALIVE_PROBES: libc::c_int = 2;
/// Time for which sent data may stay unacknowledged before the connection fails.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Enables TCP keepalive, so that `stream` fails within about 2.5 s once its peer has become
/// unreachable, instead of blocking its readers.
///
/// # Errors
///
/// Returns an error if a socket option cannot be set.
pub(super) fn enable(stream: &TcpStream) -> io::Result<()> {
    let timeout_ms = UNACKED_TIMEOUT.as_millis() as libc::c_int;
    set_option(stream, libc::SOL_SOCKET, libc::SO_KEEPALIVE, 1)?;
    set_option(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_KEEPIDLE,
        KEEPALIVE_IDLE_S,
    )?;
    set_option(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_KEEPINTVL,
        KEEPALIVE_INTERVAL_S,
    )?;
    set_option(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_KEEPCNT,
        KEEPALIVE_PROBES,
    )?;
    set_option(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_USER_TIMEOUT,
        timeout_ms,
    )
}

fn set_option(
    stream: &TcpStream,
    level: libc::c_int,
    option: libc::c_int,
    value: libc::c_int,
) -> io::Result<()> {
    // SAFETY: the descriptor is open while `stream` lives, and `value` outlives the call.
    let res = unsafe {
        libc::setsockopt(
            stream.as_raw_fd(),
            level,
            option,
            std::ptr::from_ref(&value).cast(),
            size_of::<libc::c_int>() as libc::socklen_t,
        )
    };
    if res == 0 {
        Ok(())
    } else {
        Err(io::Error::last_os_error())
    }
}
