//! Finding out that the other end of a quiet connection can no longer be reached.

use std::{io, os::fd::AsRawFd, time::Duration};

use monoio::net::TcpStream;

/// Quiet time behind which the kernel probes the other end, s; the least that it takes.
const PROBE_AFTER_S: libc::c_int = 1;
/// Time between two probes, s; the least that the kernel takes.
const PROBE_INTERVAL_S: libc::c_int = 1;
/// Probes without an answer behind which the connection fails.
const PROBES: libc::c_int = 2;
/// Time without an answer behind which the connection fails.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Makes `stream` fail within about 2.5 s when its other end can no longer be reached, so that
/// nobody waits on a connection that went silent.
///
/// # Errors
///
/// Returns an error when the system refuses an option.
pub(super) fn fail_when_unreachable(stream: &TcpStream) -> io::Result<()> {
    let timeout_ms = ANSWER_TIMEOUT.as_millis() as libc::c_int;
    set(stream, libc::SOL_SOCKET, libc::SO_KEEPALIVE, 1)?;
    set(stream, libc::IPPROTO_TCP, libc::TCP_KEEPIDLE, PROBE_AFTER_S)?;
    set(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_KEEPINTVL,
        PROBE_INTERVAL_S,
    )?;
    set(stream, libc::IPPROTO_TCP, libc::TCP_KEEPCNT, PROBES)?;
    set(
        stream,
        libc::IPPROTO_TCP,
        libc::TCP_USER_TIMEOUT,
        timeout_ms,
    )
}

fn set(
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
