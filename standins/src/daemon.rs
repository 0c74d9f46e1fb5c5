//! Daemon of a test fleet as a child process.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
    thread,
    time::{Duration, Instant},
};

use serde_json::Value;

use crate::{child_process::ChildProcess, Client};

/// Command that starts a daemon: a program and its leading arguments.
#[derive(Debug, Clone)]
pub struct DaemonCommand {
    /// Path of the program.
    pub program: PathBuf,
    /// Arguments before those of the daemon.
    pub leading_args: Vec<String>,
}

/// A daemon as a child process; killed when dropped.
pub struct DaemonProcess {
    /// Name of the host.
    pub host: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Path of the log file.
    pub log_path: PathBuf,
    command: DaemonCommand,
    settings_path: PathBuf,
    process: ChildProcess,
}

impl DaemonProcess {
    /// Writes the settings to `directory` and starts the daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be written or the process does not start.
    pub fn start(command: &DaemonCommand, directory: &Path, settings: &Value) -> io::Result<Self> {
        let host = settings["host"].as_str().unwrap_or("host").to_owned();
        let settings_path = directory.join(format!("{host}.json"));
        fs::write(&settings_path, serde_json::to_vec_pretty(settings)?)?;
        let log_path = directory.join(format!("{host}.log"));
        let process = spawn(command, &settings_path, &log_path)?;
        let address = |key: &str| {
            let text = settings[key].as_str().unwrap_or("");
            text.parse()
                .map_err(|_| io::Error::other(format!("{key}: invalid address")))
        };
        Ok(Self {
            caller_address: address("caller_address")?,
            operator_address: address("operator_address")?,
            peer_address: address("peer_address")?,
            host,
            log_path,
            command: command.clone(),
            settings_path,
            process,
        })
    }

    /// Restarts the daemon with the same settings.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn restart(&mut self) -> io::Result<()> {
        self.kill();
        self.process = spawn(&self.command, &self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Waits at most `limit` for the process to exit and returns its exit code.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        self.process.wait_exit(limit)
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the daemon's status, or null if it does not respond.
    pub fn status(&self, token: &str) -> Value {
        let bearer = format!("Bearer {token}");
        let headers = [("authorization", bearer.as_str())];
        Client::send_once(self.operator_address, "GET", "/status", &headers, b"")
            .map_or(Value::Null, |reply| reply.json())
    }

    /// Waits at most `limit` until the daemon's readiness check succeeds.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let reply = Client::send_once(self.operator_address, "GET", "/ready", &[], b"");
            if reply.is_ok_and(|r| r.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

fn spawn(command: &DaemonCommand, settings: &Path, log: &Path) -> io::Result<ChildProcess> {
    let mut started = Command::new(&command.program);
    started.args(&command.leading_args).arg("serve");
    started.arg("--settings").arg(settings);
    ChildProcess::start_logged(&mut started, log)
}
