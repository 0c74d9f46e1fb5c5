//! Test fleet of entry daemons on a simulated users' platform.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use serde_json::{json, Value};

use crate::{
    child_process::ChildProcess, free_address, Client, EntryTarget, Link, Reply, RowStore,
};

/// Timeout for a fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for a response to a caller.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry daemon as a child process; killed when dropped.
pub struct EntryDaemon {
    /// Name of the host.
    pub host: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness check and the metrics.
    pub ready_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Path of the log file.
    pub log_path: PathBuf,
    program: PathBuf,
    settings_path: PathBuf,
    process: ChildProcess,
}

impl EntryDaemon {
    /// Starts a daemon on `host` that uses the store at `store`, with the keys of `more` in its
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error if files cannot be written or the process does not start.
    pub fn start(
        program: &Path,
        directory: &Path,
        host: &str,
        data_centre: &str,
        store: SocketAddr,
        more: &Value,
    ) -> io::Result<Self> {
        let (caller, ready, peer) = (free_address()?, free_address()?, free_address()?);
        let mut settings = json!({
            "host": host, "data_centre": data_centre, "data_centres": ["a", "b"],
            "caller_address": caller.to_string(), "ready_address": ready.to_string(),
            "peer_address": peer.to_string(), "store_address": store.to_string(),
            "key_withdrawal_s": 5, "shutdown_s": 6, "floor": 0.7, "quota_slack": 20,
            "first_start": true,
        });
        for (key, value) in more.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let settings_path = directory.join(format!("{host}.json"));
        fs::write(&settings_path, settings.to_string())?;
        let log_path = directory.join(format!("{host}.log"));
        let process = spawn(program, &settings_path, &log_path)?;
        Ok(Self {
            host: host.to_owned(),
            caller_address: caller,
            ready_address: ready,
            peer_address: peer,
            log_path,
            program: program.to_owned(),
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
        let settings = fs::read_to_string(&self.settings_path)?;
        let restarted = settings.replace("\"first_start\":true", "\"first_start\":false");
        fs::write(&self.settings_path, restarted)?;
        self.process = spawn(&self.program, &self.settings_path, &self.log_path)?;
        Ok(())
    }

    /// Restarts the daemon with its log written to a pipe that is never read.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn restart_with_unread_log(&mut self) -> io::Result<()> {
        self.kill();
        let mut command = command(&self.program, &self.settings_path);
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        self.process = ChildProcess::start(&mut command)?;
        Ok(())
    }

    /// Sends a signal by its name, such as `TERM`, `STOP`, `CONT` or `HUP`.
    pub fn signal(&self, name: &str) {
        self.process.signal(name);
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        self.process.kill();
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.process.is_running()
    }

    /// Waits at most `limit` for the process to exit and returns its exit code.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        self.process.wait_exit(limit)
    }

    /// Returns the resident memory of the process in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not run.
    pub fn memory_bytes(&self) -> io::Result<u64> {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.process.id()))?;
        let pages = statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok());
        // SAFETY: `sysconf` has no preconditions.
        let page_bytes = unsafe { libc::sysconf(libc::_SC_PAGESIZE) } as u64;
        Ok(pages.unwrap_or_default() * page_bytes)
    }

    /// Returns whether the readiness check of the daemon succeeds.
    pub fn is_ready(&self) -> bool {
        let reply = Client::send_once(self.ready_address, "GET", "/ready", &[], b"");
        reply.is_ok_and(|r| r.status == 200)
    }

    /// Returns the contents of the log.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path) -> io::Result<ChildProcess> {
    ChildProcess::start_logged(&mut command(program, settings), log)
}

fn command(program: &Path, settings: &Path) -> Command {
    let mut command = Command::new(program);
    command.arg("front").arg("--settings").arg(settings);
    command
}

/// A fleet of entry daemons with a store and targets of the services `one` and `two`.
pub struct EntryFleet {
    /// The daemons, alternating between the data centres `a` and `b`.
    pub daemons: Vec<EntryDaemon>,
    /// The targets.
    pub targets: Vec<EntryTarget>,
    /// The store.
    pub store: RowStore,
    /// The link from each daemon to the store.
    pub store_links: Vec<Link>,
    directory: PathBuf,
}

impl EntryFleet {
    /// Starts `daemons` daemons and two targets per service, and waits until all are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start in time.
    pub fn start(program: &Path, daemons: usize) -> io::Result<Self> {
        Self::start_with(program, daemons, &Value::Null)
    }

    /// The same with the keys of `more` in the settings of all daemons.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start in time.
    pub fn start_with(program: &Path, daemons: usize, more: &Value) -> io::Result<Self> {
        let store = RowStore::start(free_address()?)?;
        let directory = std::env::temp_dir().join(format!(
            "chervillug-entry-{}-{}",
            std::process::id(),
            store.address().port()
        ));
        fs::create_dir_all(&directory)?;
        let work = Duration::from_millis(5);
        let mut targets = Vec::new();
        for (service, n) in [("one", 0), ("one", 1), ("two", 0), ("two", 1)] {
            let id = format!("i-{service}-{n}");
            let target = EntryTarget::start(free_address()?, service, &id, work)?;
            target.register(&store, "ready");
            targets.push(target);
        }
        store.put("op", "config", configuration(1).to_string().as_bytes());
        let mut fleet = Self {
            daemons: Vec::new(),
            targets,
            store,
            store_links: Vec::new(),
            directory,
        };
        for i in 0..daemons {
            let centre = if i % 2 == 0 { "a" } else { "b" };
            let host = format!("entry-{i}");
            let address = free_address()?;
            let link = Link::start(address, fleet.store.address())?;
            fleet.store_links.push(link);
            let daemon =
                EntryDaemon::start(program, &fleet.directory, &host, centre, address, more)?;
            fleet.daemons.push(daemon);
        }
        fleet.wait_serving()?;
        Ok(fleet)
    }

    /// Waits until all daemons are ready and serve a request with a key.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon does not do so in time.
    pub fn wait_serving(&self) -> io::Result<()> {
        let end = Instant::now() + START_TIMEOUT;
        for (i, daemon) in self.daemons.iter().enumerate() {
            let serves = || {
                let reply = self.request(i, "key-big", "GET", "/one/start", "start");
                daemon.is_ready() && reply.is_ok_and(|r| r.status == 200)
            };
            while !serves() {
                if Instant::now() > end {
                    return Err(io::Error::other(format!(
                        "{} does not serve requests",
                        daemon.host
                    )));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Sends a request to daemon `i` on a new connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub fn request(
        &self,
        i: usize,
        key: &str,
        method: &str,
        path: &str,
        request_id: &str,
    ) -> io::Result<Reply> {
        let token = format!("Token {key}");
        let headers = [
            ("host", "shop.example"),
            ("authorization", token.as_str()),
            ("x-request-id", request_id),
            ("x-deadline-ms", "2000"),
        ];
        let address = self.daemons[i].caller_address;
        let mut client = Client::connect(address, REPLY_TIMEOUT)?;
        client.send(method, path, &headers, b"")
    }

    /// Publishes a configuration.
    pub fn publish_configuration(&self, cfg: &Value) {
        self.store.put("op", "config", cfg.to_string().as_bytes());
    }

    /// Returns how often the request with this id was executed, over all targets.
    pub fn run_count(&self, request_id: &str) -> usize {
        let runs = self.targets.iter().flat_map(EntryTarget::runs);
        runs.filter(|run| run.request_id == request_id).count()
    }
}

impl Drop for EntryFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Returns a configuration with a safe route `/one/`, an unsafe route `/two/`, a route `/open/`
/// that needs no key, and the workspaces `big` and `small`.
pub fn configuration(version: u64) -> Value {
    json!({
        "version": format!("{version:08x}"),
        "routes": {
            "safe": {"host": "shop.example", "prefix": "/one/", "type": "safe", "timeoutS": 1.0,
                "sloS": 0.5, "priority": 1, "backend": "one", "attempts": 2, "anonymous": false},
            "unsafe": {"host": "shop.example", "prefix": "/two/", "type": "unsafe",
                "timeoutS": 1.0, "sloS": 0.5, "priority": 0, "backend": "two", "attempts": 2,
                "anonymous": false},
            "open": {"host": "shop.example", "prefix": "/open/", "type": "safe", "timeoutS": 1.0,
                "sloS": 0.5, "priority": 1, "backend": "one", "attempts": 2, "anonymous": true},
        },
        "services": {
            "one": {"healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
            "two": {"healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
        },
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutS": 3,
            "idleTimeoutS": 15},
        "tenants": {
            "big": {"apiKeys": ["key-big", "key-big-2"], "priority": 1, "ratePerS": 1000,
                "burst": 1000},
            "small": {"apiKeys": ["key-small"], "priority": 1, "ratePerS": 4, "burst": 4},
        },
    })
}
