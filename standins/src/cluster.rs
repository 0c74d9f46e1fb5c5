//! Test fleet on loopback: a simulated platform, simulated targets, and daemons as processes.

use std::{
    fs, io,
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    sync::atomic::{AtomicU16, AtomicU32, Ordering},
    time::Duration,
};

use serde_json::{json, Value};

use crate::{
    Client, DaemonCommand, DaemonProcess, HostRow, Link, LinkFaults, Platform, Reply, Target,
    TargetOptions,
};

/// Lowest port of [`free_address`].
const FIRST_PORT: u16 = 10_000;
/// Highest port of [`free_address`], below the kernel's ephemeral range.
const LAST_PORT: u16 = 32_000;
/// Operator token of every [`Cluster`].
const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Options of a test fleet.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// Command that starts a daemon.
    pub command: DaemonCommand,
    /// Number of daemons, distributed over the data centres in turn.
    pub daemons: usize,
    /// Names of the data centres.
    pub data_centres: Vec<String>,
    /// Services with their number of targets.
    pub services: Vec<(String, usize)>,
    /// Maximum number of concurrent requests of each target.
    pub slots: u32,
    /// Processing time of one request at a target.
    pub work: Duration,
    /// Settings that override or extend those of each daemon.
    pub settings: Value,
    /// Whether each daemon reaches each other daemon through a [`Link`].
    pub links: bool,
}

impl ClusterOptions {
    /// Returns options for one daemon and a service `catalogue` with two targets.
    pub fn new(command: DaemonCommand) -> Self {
        Self {
            command,
            daemons: 1,
            data_centres: vec!["hobart".into(), "launceston".into(), "devonport".into()],
            services: vec![("catalogue".into(), 2)],
            slots: 4,
            work: Duration::from_millis(1),
            settings: json!({}),
            links: false,
        }
    }
}

/// A running test fleet; all parts stop when dropped.
pub struct Cluster {
    /// The platform.
    pub platform: Platform,
    /// The targets of all services.
    pub targets: Vec<Target>,
    /// The daemons.
    pub daemons: Vec<DaemonProcess>,
    /// Directory of settings and logs, removed on drop.
    pub directory: PathBuf,
    links: Vec<PeerLink>,
    opts: ClusterOptions,
}

/// The relay from one daemon to another.
struct PeerLink {
    from: usize,
    to: usize,
    link: Link,
}

impl Cluster {
    /// Starts the fleet and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start.
    pub fn start(opts: ClusterOptions) -> io::Result<Self> {
        let platform = Platform::start(free_address()?)?;
        let targets = start_targets(&platform, &opts)?;
        let mut cluster = Self {
            platform,
            targets,
            daemons: Vec::new(),
            directory: make_directory()?,
            links: Vec::new(),
            opts,
        };
        cluster.start_daemons()?;
        Ok(cluster)
    }

    fn start_daemons(&mut self) -> io::Result<()> {
        let mut daemon_settings = Vec::new();
        for i in 0..self.opts.daemons {
            let settings = self.make_settings(i)?;
            self.register_daemon(&settings)?;
            daemon_settings.push(settings);
        }
        set_seed_peers(&mut daemon_settings);
        if self.opts.links {
            self.start_links(&mut daemon_settings)?;
        }
        for settings in &daemon_settings {
            let daemon = DaemonProcess::start(&self.opts.command, &self.directory, settings)?;
            self.daemons.push(daemon);
        }
        for daemon in &self.daemons {
            if !daemon.wait_ready(Duration::from_secs(20)) {
                let log = fs::read_to_string(&daemon.log_path).unwrap_or_default();
                return Err(io::Error::other(format!(
                    "{} not ready: {log}",
                    daemon.host
                )));
            }
        }
        Ok(())
    }

    /// Starts a relay for each ordered pair of daemons.
    fn start_links(&mut self, daemon_settings: &mut [Value]) -> io::Result<()> {
        let hosts: Vec<(Value, Value)> = daemon_settings
            .iter()
            .map(|s| (s["host"].clone(), s["peer_address"].clone()))
            .collect();
        for (from, settings) in daemon_settings.iter_mut().enumerate() {
            let mut addresses = serde_json::Map::new();
            for (to, (host, address)) in hosts.iter().enumerate() {
                if from == to {
                    continue;
                }
                let destination = serde_json::from_value(address.clone())?;
                let link = Link::start(free_address()?, destination)?;
                let name = host.as_str().unwrap_or("").to_owned();
                addresses.insert(name, json!(link.address));
                self.links.push(PeerLink { from, to, link });
            }
            settings["seed_peers"] = addresses.values().cloned().collect();
            settings["peer_addresses"] = Value::Object(addresses);
        }
        Ok(())
    }

    /// Changes the faults of the link by which daemon `from` calls daemon `to`.
    pub fn set_link_faults(&self, from: usize, to: usize, change: impl Fn(&mut LinkFaults)) {
        for l in self.links.iter().filter(|l| l.from == from && l.to == to) {
            l.link.set_faults(&change);
        }
    }

    /// Drops or passes all bytes from daemon `from` to daemon `to`, on connections of both daemons.
    pub fn set_one_way_silence(&self, from: usize, to: usize, silent: bool) {
        self.set_link_faults(from, to, |f| f.silent_forward = silent);
        self.set_link_faults(to, from, |f| f.silent_backward = silent);
    }

    fn make_settings(&self, i: usize) -> io::Result<Value> {
        let data_centre = &self.opts.data_centres[i % self.opts.data_centres.len()];
        let mut settings = json!({
            "host": format!("entry-{i}"),
            "data_centre": data_centre,
            "caller_address": free_address()?,
            "peer_address": free_address()?,
            "operator_address": free_address()?,
            "platform_address": self.platform.address,
            "fleet_secrets": ["fleet-secret-for-tests-0123456789"],
            "key_secret": "key-secret-for-tests-0123456789abcdef",
            "operator_tokens": [OPERATOR_TOKEN],
        });
        if let (Some(all), Some(more)) = (settings.as_object_mut(), self.opts.settings.as_object())
        {
            all.extend(more.clone());
        }
        Ok(settings)
    }

    fn register_daemon(&self, settings: &Value) -> io::Result<()> {
        let text = |key: &str| settings[key].as_str().unwrap_or("").to_owned();
        let address = text("peer_address").parse();
        self.platform.put_host(HostRow {
            name: text("host"),
            data_centre: text("data_centre"),
            address: address.map_err(|_| io::Error::other("peer_address: invalid address"))?,
            service: None,
            slots: 0,
            leaving: false,
        });
        Ok(())
    }

    /// Returns the operator token.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Sends an operator request to daemon `i`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn operator_request(
        &self,
        i: usize,
        method: &str,
        path: &str,
        body: &Value,
    ) -> io::Result<Reply> {
        let bearer = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", bearer.as_str())];
        let body = if body.is_null() {
            Vec::new()
        } else {
            body.to_string().into_bytes()
        };
        Client::send_once(
            self.daemons[i].operator_address,
            method,
            path,
            &headers,
            &body,
        )
    }

    /// Submits one edit to daemon `i`.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not respond.
    pub fn edit(&self, i: usize, change: &Value) -> io::Result<Reply> {
        self.operator_request(i, "POST", "/edit", &json!({"changes": [change]}))
    }

    /// Adds a workspace with a plan that may use all services, and returns a key.
    ///
    /// # Errors
    ///
    /// Returns an error if an edit is not accepted.
    pub fn add_workspace(&self, name: &str, rate: f64, burst: u32) -> io::Result<String> {
        let routes: Vec<Value> = self
            .opts
            .services
            .iter()
            .map(|(s, _)| json!({"service": s, "prefix": format!("/{s}")}))
            .collect();
        let plan = format!("plan-of-{name}");
        let changes = [
            json!({"set_access": {"plan": plan, "routes": routes}}),
            json!({"set_plan": {"workspace": name, "plan": plan, "rate_per_s": rate, "burst": burst}}),
        ];
        for change in &changes {
            let reply = self.edit(0, change)?;
            if reply.status != 200 {
                return Err(io::Error::other(reply.text()));
            }
        }
        let reply = self.operator_request(0, "POST", "/key/give", &json!({"workspace": name}))?;
        let key = reply.json()["key"].as_str().map(str::to_owned);
        key.ok_or_else(|| io::Error::other(reply.text()))
    }

    /// Sends a caller's request to daemon `i`.
    ///
    /// # Errors
    ///
    /// Returns an error if no response head arrives.
    pub fn request(&self, i: usize, key: &str, method: &str, path: &str) -> io::Result<Reply> {
        let bearer = format!("Bearer {key}");
        let headers = [("authorization", bearer.as_str())];
        Client::send_once(self.daemons[i].caller_address, method, path, &headers, b"")
    }

    /// Returns the targets of a service.
    pub fn targets_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> + 'a {
        self.targets
            .iter()
            .filter(move |t| t.options().service == service)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.daemons.clear();
        if std::thread::panicking() {
            eprintln!("logs kept in {}", self.directory.display());
        } else {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}

/// Sets the seed peers of each daemon to all other daemons.
fn set_seed_peers(daemon_settings: &mut [Value]) {
    let all: Vec<Value> = daemon_settings
        .iter()
        .map(|s| s["peer_address"].clone())
        .collect();
    for settings in daemon_settings {
        let own = settings["peer_address"].clone();
        let others = all.iter().filter(|a| **a != own).cloned();
        settings["seed_peers"] = others.collect();
    }
}

fn start_targets(platform: &Platform, opts: &ClusterOptions) -> io::Result<Vec<Target>> {
    let mut targets = Vec::new();
    for (service, count) in &opts.services {
        for i in 0..*count {
            let data_centre = opts.data_centres[i % opts.data_centres.len()].clone();
            let name = format!("{service}-{i}");
            let target = Target::start(
                free_address()?,
                TargetOptions {
                    name: name.clone(),
                    service: service.clone(),
                    data_centre: data_centre.clone(),
                    slots: opts.slots,
                    work: opts.work,
                },
            )?;
            platform.put_host(HostRow {
                name,
                data_centre,
                address: target.address,
                service: Some(service.clone()),
                slots: opts.slots,
                leaving: false,
            });
            targets.push(target);
        }
    }
    Ok(targets)
}

/// Returns a free loopback address that is not returned by this function in any other process.
///
/// The IP address is derived from the process id, and the port is below the ephemeral range, so
/// that neither another test process nor an outgoing connection can take it before its use.
///
/// # Errors
///
/// Returns an error if no port is left.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, a, b, c] = std::process::id().to_be_bytes();
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        if port >= LAST_PORT {
            return Err(io::Error::other("no port left"));
        }
        let address = SocketAddr::from(([127, a.wrapping_add(1), b, c.max(1)], port));
        // Probed by connecting, because a child forked while it is bound would keep the port open.
        if TcpStream::connect(address).is_err() {
            return Ok(address);
        }
    }
}

fn make_directory() -> io::Result<PathBuf> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("chervillug-{}-{n}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    fs::create_dir_all(&directory)?;
    Ok(directory)
}
