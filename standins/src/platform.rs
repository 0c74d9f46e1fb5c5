//! Simulated platform: table service, object store and host list over HTTP.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

use crate::http::{respond, ConnectionAction, Handler, Request, Server};

/// Faults of the platform, which can be changed at run time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PlatformFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Delay before each response, ms.
    pub delay_ms: u64,
    /// Number of subsequent writes that take effect but whose response is lost.
    pub lose_write_answers: u32,
    /// Delay until a change of the host list becomes visible, ms.
    pub host_list_lag_ms: u64,
    /// Hosts whose calls are dropped before they take effect.
    pub cut_off: Vec<String>,
}

/// One entry of the platform's host list.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct HostRow {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: String,
    /// Address of the host.
    pub address: SocketAddr,
    /// Service of a target; `None` for a host of the fleet.
    #[serde(default)]
    pub service: Option<String>,
    /// Maximum number of concurrent requests of a target.
    #[serde(default)]
    pub slots: u32,
    /// Whether the host is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

/// Call counters since the start.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct PlatformStats {
    /// Transactions with at least one write.
    pub writes: u64,
    /// Reads and scans.
    pub reads: u64,
    /// Object puts and gets.
    pub objects: u64,
    /// Bytes of request and response bodies.
    pub bytes: u64,
}

#[derive(Debug, Clone, Serialize)]
struct Row {
    value: Value,
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Check {
    table: String,
    key: String,
    version: u64,
}

#[derive(Debug, Deserialize)]
struct Write {
    table: String,
    key: String,
    value: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    #[serde(default)]
    checks: Vec<Check>,
    #[serde(default)]
    writes: Vec<Write>,
}

#[derive(Debug, Deserialize)]
struct RowKey {
    table: String,
    key: String,
}

#[derive(Debug, Deserialize)]
struct Scan {
    table: String,
    #[serde(default)]
    after: String,
    limit: usize,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), Row>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: BTreeMap<String, HostRow>,
    visible_hosts: Vec<HostRow>,
    visible_version: u64,
    host_changes: Vec<(Instant, Vec<HostRow>)>,
    next_version: u64,
    faults: PlatformFaults,
    stats: PlatformStats,
}

impl State {
    fn version(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.map_or(0, |r| r.version)
    }

    fn transact(&mut self, tx: Transaction) -> Value {
        let failed: Vec<Value> = tx
            .checks
            .iter()
            .filter(|c| self.version(&c.table, &c.key) != c.version)
            .map(|c| json!({"table": c.table, "key": c.key, "version": self.version(&c.table, &c.key)}))
            .collect();
        if !failed.is_empty() {
            return json!({"committed": false, "failed": failed});
        }
        if !tx.writes.is_empty() {
            self.stats.writes += 1;
        }
        let mut versions = Vec::new();
        for w in tx.writes {
            self.next_version += 1;
            let version = self.next_version;
            versions.push(version);
            match w.value {
                Some(value) => self.rows.insert((w.table, w.key), Row { value, version }),
                None => self.rows.remove(&(w.table, w.key)),
            };
        }
        json!({"committed": true, "versions": versions})
    }

    fn scan(&self, scan: &Scan) -> Value {
        let from = (scan.table.clone(), scan.after.clone());
        let rows: Vec<Value> = self
            .rows
            .range(from..)
            .take_while(|((t, _), _)| *t == scan.table)
            .filter(|((_, k), _)| *k > scan.after)
            .take(scan.limit)
            .map(|((_, k), r)| json!({"key": k, "value": r.value, "version": r.version}))
            .collect();
        json!({"rows": rows})
    }

    fn queue_host_change(&mut self) {
        let lag = Duration::from_millis(self.faults.host_list_lag_ms);
        let hosts = self.hosts.values().cloned().collect();
        self.host_changes.push((Instant::now() + lag, hosts));
    }

    /// Returns the list and its version; omits the hosts if `known` is the current version.
    fn list_hosts(&mut self, known: Option<u64>) -> Value {
        self.publish_hosts();
        let version = self.visible_version;
        let hosts = (known != Some(version)).then_some(&self.visible_hosts);
        json!({"version": version, "hosts": hosts})
    }

    fn publish_hosts(&mut self) {
        let now = Instant::now();
        while self.host_changes.first().is_some_and(|(at, _)| *at <= now) {
            self.visible_hosts = self.host_changes.remove(0).1;
            self.visible_version += 1;
        }
    }
}

struct Service {
    state: Mutex<State>,
}

/// A running simulated platform; stops when dropped.
pub struct Platform {
    /// Listen address.
    pub address: SocketAddr,
    service: Arc<Service>,
    _server: Server,
}

impl Platform {
    /// Starts a platform on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let service = Arc::new(Service {
            state: Mutex::new(State::default()),
        });
        let server = Server::start(address, service.clone())?;
        Ok(Self {
            address: server.address,
            service,
            _server: server,
        })
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PlatformFaults)) {
        change(&mut self.service.lock().faults);
    }

    /// Adds a host to the list, or replaces its entry.
    pub fn put_host(&self, host: HostRow) {
        let mut state = self.service.lock();
        state.hosts.insert(host.name.clone(), host);
        state.queue_host_change();
    }

    /// Marks a host as leaving.
    pub fn mark_leaving(&self, name: &str) {
        let mut state = self.service.lock();
        if let Some(host) = state.hosts.get_mut(name) {
            host.leaving = true;
        }
        state.queue_host_change();
    }

    /// Removes a host from the list.
    pub fn remove_host(&self, name: &str) {
        let mut state = self.service.lock();
        state.hosts.remove(name);
        state.queue_host_change();
    }

    /// Returns the call counters.
    pub fn stats(&self) -> PlatformStats {
        self.service.lock().stats
    }

    /// Returns the value of a row.
    pub fn row(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.service.lock();
        let row = state.rows.get(&(table.to_owned(), key.to_owned()));
        row.map(|r| r.value.clone())
    }

    /// Inserts rows directly, bypassing the wire protocol, to load large states quickly.
    pub fn load_rows(&self, table: &str, rows: impl IntoIterator<Item = (String, Value)>) {
        let mut state = self.service.lock();
        for (key, value) in rows {
            state.next_version += 1;
            let version = state.next_version;
            state
                .rows
                .insert((table.to_owned(), key), Row { value, version });
        }
    }
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn answer(&self, req: &Request) -> (u16, Vec<u8>) {
        let path = req.plain_path();
        if let Some(name) = path.strip_prefix("/v1/objects/") {
            return self.object(name, req);
        }
        let parsed = match path {
            "/v1/transact" => parse(&req.body).map(|tx| self.lock().transact(tx)),
            "/v1/read" => parse(&req.body).map(|keys: Vec<RowKey>| self.read(&keys)),
            "/v1/scan" => parse(&req.body).map(|scan| self.scan(&scan)),
            "/v1/hosts" => Ok(self.lock().list_hosts(known_version(&req.path))),
            "/control/faults" => parse(&req.body).map(|f| {
                self.lock().faults = f;
                json!({})
            }),
            "/control/host" => parse(&req.body).map(|h: HostRow| {
                let mut state = self.lock();
                state.hosts.insert(h.name.clone(), h);
                state.queue_host_change();
                json!({})
            }),
            "/control/stats" => Ok(json!(self.lock().stats)),
            _ => return (404, Vec::new()),
        };
        match parsed {
            Ok(value) => (200, value.to_string().into_bytes()),
            Err(e) => (400, e.into_bytes()),
        }
    }

    fn read(&self, keys: &[RowKey]) -> Value {
        let mut state = self.lock();
        state.stats.reads += 1;
        let rows: Vec<Option<&Row>> = keys
            .iter()
            .map(|k| state.rows.get(&(k.table.clone(), k.key.clone())))
            .collect();
        json!({"rows": rows})
    }

    fn scan(&self, scan: &Scan) -> Value {
        let mut state = self.lock();
        state.stats.reads += 1;
        state.scan(scan)
    }

    fn object(&self, name: &str, req: &Request) -> (u16, Vec<u8>) {
        let mut state = self.lock();
        state.stats.objects += 1;
        if req.method == "PUT" {
            state.objects.insert(name.to_owned(), req.body.clone());
            return (200, Vec::new());
        }
        match state.objects.get(name) {
            Some(body) => (200, body.clone()),
            None => (404, Vec::new()),
        }
    }
}

/// Returns the list version that the caller already has, from the query.
fn known_version(path: &str) -> Option<u64> {
    let (_, version) = path.split_once("?version=")?;
    version.parse().ok()
}

fn parse<T: for<'a> Deserialize<'a>>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| e.to_string())
}

impl Handler for Service {
    fn handle(
        &self,
        _: u64,
        req: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let control = req.path.starts_with("/control/");
        let faults = self.lock().faults.clone();
        if !control {
            let caller = req.header("platform-caller").unwrap_or("");
            if faults.down || faults.cut_off.iter().any(|h| h == caller) {
                return Ok(ConnectionAction::Close);
            }
            thread::sleep(Duration::from_millis(faults.delay_ms));
        }
        let (status, body) = self.answer(req);
        let lost = {
            let mut state = self.lock();
            state.stats.bytes += req.body_bytes + body.len() as u64;
            let lost = req.path == "/v1/transact" && state.faults.lose_write_answers > 0;
            if lost {
                state.faults.lose_write_answers -= 1;
            }
            lost
        };
        if lost {
            return Ok(ConnectionAction::Close);
        }
        respond(
            stream,
            status,
            &[("content-type", "application/json")],
            &body,
        )
    }
}
