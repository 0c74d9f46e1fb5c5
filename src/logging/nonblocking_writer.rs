//! Non-blocking writer to standard output.

use std::io::{self, Write};

/// Maximum length of a line; a writable pipe accepts this many bytes without blocking.
const MAX_LINE_BYTES: usize = 4096;

/// Writes whole lines to standard output, and drops lines that would block or are too long.
#[derive(Default)]
pub(super) struct NonblockingWriter {
    dropped: u64,
}

impl NonblockingWriter {
    fn is_writable() -> bool {
        let mut fd = libc::pollfd {
            fd: libc::STDOUT_FILENO,
            events: libc::POLLOUT,
            revents: 0,
        };
        // SAFETY: `fd` is one valid entry that outlives the call; a timeout of 0 does not block.
        let ready = unsafe { libc::poll(&mut fd, 1, 0) };
        ready > 0 && fd.revents & libc::POLLOUT != 0
    }
}

impl Write for NonblockingWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if buf.is_empty() {
            return Ok(0);
        }
        if buf.len() > MAX_LINE_BYTES || !Self::is_writable() {
            self.dropped += 1;
            return Ok(buf.len());
        }
        let mut out = io::stdout().lock();
        if self.dropped > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"lines_dropped\":{}}}\n",
                self.dropped
            );
            self.dropped = 0;
            out.write_all(note.as_bytes())?;
        }
        out.write_all(buf)?;
        out.flush()?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
