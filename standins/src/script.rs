//! Scripted responses of simulated targets.

use std::{
    io::{self, Write},
    net::{Shutdown, TcpStream},
    os::fd::AsRawFd,
    thread,
    time::Duration,
};

use crate::http::ConnectionAction;

/// Time for which a held connection stays open.
const HOLD_TIME: Duration = Duration::from_secs(20);
/// Bytes of one write of a flood.
const FLOOD_BYTES: usize = 64 * 1024;
/// Placeholder for the id of the request.
const ID: &str = "{id}";

/// How a target goes on after the bytes of a script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScriptEnd {
    /// Waits for the next request.
    KeepOpen,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Keeps the connection open and sends nothing.
    Hold,
    /// Repeats the last byte of the script at this interval.
    Repeat(Duration),
    /// Repeats these bytes as fast as the connection takes them.
    Flood(&'static str),
}

/// Bytes that a target sends instead of a response; `{id}` stands for the id of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Script {
    /// The bytes.
    pub text: String,
    /// Number of bytes that are sent, after the id was filled in.
    pub max_bytes: usize,
    /// What follows.
    pub end: ScriptEnd,
}

impl Script {
    /// Creates a script that sends all of `text`.
    pub fn new(text: &str, end: ScriptEnd) -> Self {
        Self {
            text: text.to_owned(),
            max_bytes: usize::MAX,
            end,
        }
    }

    pub(crate) fn play(&self, stream: &mut TcpStream, id: &str) -> io::Result<ConnectionAction> {
        let text = self.text.replace(ID, id);
        let bytes = text.as_bytes();
        stream.write_all(&bytes[..bytes.len().min(self.max_bytes)])?;
        match self.end {
            ScriptEnd::KeepOpen => return Ok(ConnectionAction::KeepOpen),
            ScriptEnd::Close => stream.shutdown(Shutdown::Both)?,
            ScriptEnd::Reset => reset(stream)?,
            ScriptEnd::Hold => thread::sleep(HOLD_TIME),
            ScriptEnd::Repeat(interval) => {
                let last = bytes.last().copied().unwrap_or_default();
                while stream.write_all(&[last]).is_ok() {
                    thread::sleep(interval);
                }
            }
            ScriptEnd::Flood(part) => flood(stream, part),
        }
        Ok(ConnectionAction::Close)
    }
}

/// Sends `part` again and again until the connection fails.
fn flood(stream: &mut TcpStream, part: &str) {
    let parts = part.repeat(FLOOD_BYTES.div_ceil(part.len()));
    while stream.write_all(parts.as_bytes()).is_ok() {}
}

/// Resets a connection; both sides lose what was not read.
fn reset(stream: &TcpStream) -> io::Result<()> {
    // Gives the other side time to read what was sent before.
    thread::sleep(Duration::from_millis(5));
    // SAFETY: all fields of `sockaddr` are integers, for which zero is valid.
    let mut unspecified: libc::sockaddr = unsafe { std::mem::zeroed() };
    unspecified.sa_family = libc::AF_UNSPEC as libc::sa_family_t;
    let len = size_of::<libc::sockaddr>() as libc::socklen_t;
    let fd = stream.as_raw_fd();
    // SAFETY: `fd` is open while `stream` lives, and `unspecified` outlives the call.
    match unsafe { libc::connect(fd, std::ptr::from_ref(&unspecified), len) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
