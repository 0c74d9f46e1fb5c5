//! A daemon's process, killed when dropped.

use std::{
    fs, io,
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// A daemon's process, killed when dropped.
pub(crate) struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts `command` with its output appended to the file `log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the process does not start.
    pub(crate) fn start_logged(command: &mut Command, log: &Path) -> io::Result<Self> {
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        command.stdout(log.try_clone()?).stderr(log);
        Self::start(command)
    }

    /// Starts `command` with empty standard input.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub(crate) fn start(command: &mut Command) -> io::Result<Self> {
        let child = command.stdin(Stdio::null()).spawn()?;
        Ok(Self { child })
    }

    /// Returns the process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`, `STOP`, `CONT` or `HUP`.
    ///
    /// # Panics
    ///
    /// Panics if the signal cannot be sent.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
        assert!(sent.is_ok_and(|s| s.success()), "cannot send signal {name}");
    }

    /// Kills the process, unless it has exited, and waits for its exit.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process is running.
    pub(crate) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits at most `limit` for the process to exit and returns its exit code.
    pub(crate) fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
