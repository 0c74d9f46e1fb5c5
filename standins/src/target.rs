//! Simulated target with fault injection.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{respond, ConnectionAction, Handler, Request, Server};

/// Faults of a target, which can be changed at run time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TargetFaults {
    /// Share of requests that fail with status 500, from 0 to 1; health probes succeed.
    pub fail_share: f64,
    /// Length of alternating healthy and failing periods, ms; 0 disables them.
    pub flap_period_ms: u64,
    /// Additional processing time of each request, ms.
    pub slow_ms: u64,
    /// Sheds all requests.
    pub shed: bool,
    /// Reports in each response that the target is draining.
    pub draining: bool,
    /// Reports in each response that the target is cold, and runs four times slower.
    pub cold: bool,
    /// Does not respond on connections up to this number, which were open when it was set.
    pub silent_up_to_connection: u64,
    /// Does not respond to any request.
    pub silent: bool,
    /// Closes the connection halfway through the response body.
    pub die_in_body: bool,
    /// Runs the request and closes the connection without a response.
    pub die_after_run: bool,
    /// Crashes on requests whose path contains this text.
    pub crash_on: Option<String>,
}

/// Options of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Name of the target.
    pub name: String,
    /// Service of the target.
    pub service: String,
    /// Data centre of the target.
    pub data_centre: String,
    /// Maximum number of concurrent requests; further ones wait.
    pub slots: u32,
    /// Processing time of one request.
    pub work: Duration,
}

/// A request that was executed by a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WorkRecord {
    /// Request id given by the fleet.
    pub request_id: String,
    /// Workspace given by the fleet.
    pub workspace: String,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// Start of the request, ms since the start of the target.
    pub at_ms: u64,
}

struct State {
    faults: TargetFaults,
    log: Vec<WorkRecord>,
    received: Vec<u8>,
    record_received: bool,
    running: u32,
    last_connection: u64,
    dead: bool,
    random: u64,
}

struct Service {
    opts: TargetOptions,
    started: Instant,
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    slot_free: Condvar,
}

/// A running simulated target; stops when dropped.
pub struct Target {
    /// Listen address.
    pub address: SocketAddr,
    service: Arc<Service>,
}

impl Target {
    /// Starts a target on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr, opts: TargetOptions) -> io::Result<Self> {
        let service = Arc::new(Service {
            opts,
            started: Instant::now(),
            state: Mutex::new(State {
                faults: TargetFaults::default(),
                log: Vec::new(),
                received: Vec::new(),
                record_received: false,
                running: 0,
                last_connection: 0,
                dead: false,
                random: 0x9e37_79b9_7f4a_7c15,
            }),
            server: Mutex::new(None),
            slot_free: Condvar::new(),
        });
        let server = Server::start(address, service.clone())?;
        let address = server.address;
        *service.server.lock().unwrap() = Some(server);
        Ok(Self { address, service })
    }

    /// Returns the options.
    pub fn options(&self) -> &TargetOptions {
        &self.service.opts
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut TargetFaults)) {
        change(&mut self.service.lock().faults);
    }

    /// Stops answering on all connections that are open now.
    pub fn silence_open_connections(&self) {
        let mut state = self.service.lock();
        state.faults.silent_up_to_connection = state.last_connection;
    }

    /// Returns the requests executed so far.
    pub fn log(&self) -> Vec<WorkRecord> {
        self.service.lock().log.clone()
    }

    /// Returns the number of requests executed so far.
    pub fn runs(&self) -> usize {
        self.service.lock().log.len()
    }

    /// Starts recording all received bytes.
    pub fn record_received(&self) {
        self.service.lock().record_received = true;
    }

    /// Returns the recorded bytes.
    pub fn received(&self) -> Vec<u8> {
        self.service.lock().received.clone()
    }

    /// Returns whether the target was crashed by a request or killed.
    pub fn is_dead(&self) -> bool {
        self.service.lock().dead
    }

    /// Stops the target and closes its connections.
    pub fn kill(&self) {
        self.service.crash();
    }

    /// Restarts a stopped or crashed target at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound again.
    pub fn restart(&self) -> io::Result<()> {
        let mut server = self.service.server.lock().unwrap();
        *server = None;
        {
            let mut state = self.service.lock();
            state.dead = false;
            state.faults.silent_up_to_connection = 0;
            state.last_connection = 0;
        }
        *server = Some(Server::start(self.address, self.service.clone())?);
        Ok(())
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        *self.service.server.lock().unwrap() = None;
    }
}

impl Service {
    /// Stops serving and closes all connections, like a crash of the process.
    fn crash(&self) {
        self.lock().dead = true;
        self.slot_free.notify_all();
        *self.server.lock().unwrap() = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn acquire_slot(&self) -> SlotGuard<'_> {
        let mut state = self.lock();
        while state.running >= self.opts.slots && !state.dead {
            state = self
                .slot_free
                .wait(state)
                .unwrap_or_else(|e| e.into_inner());
        }
        state.running += 1;
        SlotGuard { service: self }
    }

    fn record(&self, req: &Request) {
        let header = |name| req.header(name).unwrap_or("").to_owned();
        let record = WorkRecord {
            request_id: header("chervillug-request-id"),
            workspace: header("chervillug-workspace"),
            method: req.method.clone(),
            path: req.path.clone(),
            at_ms: self.started.elapsed().as_millis() as u64,
        };
        self.lock().log.push(record);
    }

    fn fails_now(&self, faults: &TargetFaults) -> bool {
        let elapsed_ms = self.started.elapsed().as_millis() as u64;
        let period = elapsed_ms.checked_div(faults.flap_period_ms);
        if period.is_some_and(|p| p % 2 == 1) {
            return true;
        }
        if faults.fail_share <= 0.0 {
            return false;
        }
        let mut state = self.lock();
        state.random ^= state.random << 13;
        state.random ^= state.random >> 7;
        state.random ^= state.random << 17;
        ((state.random >> 11) as f64 / (1u64 << 53) as f64) < faults.fail_share
    }

    fn load(&self) -> String {
        let running = self.lock().running;
        format!(
            "{:.2}",
            f64::from(running) / f64::from(self.opts.slots.max(1))
        )
    }

    fn state_name(faults: &TargetFaults) -> &'static str {
        if faults.draining {
            "draining"
        } else if faults.cold {
            "cold"
        } else {
            "serving"
        }
    }

    fn body(&self, req: &Request) -> Vec<u8> {
        if let Some(n) = req.query("bytes").and_then(|v| v.parse().ok()) {
            return vec![b'x'; n];
        }
        json!({
            "target": self.opts.name,
            "service": self.opts.service,
            "workspace": req.header("chervillug-workspace"),
            "request_id": req.header("chervillug-request-id"),
            "method": req.method,
            "path": req.path,
            "body_bytes": req.body_bytes,
        })
        .to_string()
        .into_bytes()
    }

    fn stream_body(&self, total: u64, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {total}\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let part = [b'x'; 64 * 1024];
        let mut left = total;
        while left > 0 {
            let n = left.min(part.len() as u64);
            stream.write_all(&part[..n as usize])?;
            left -= n;
        }
        Ok(ConnectionAction::KeepOpen)
    }

    fn run_request(
        &self,
        req: &Request,
        faults: &TargetFaults,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let state = Self::state_name(faults);
        if faults.shed {
            let headers = [("target-shed", "not-run"), ("target-state", state)];
            return respond(stream, 503, &headers, b"shed");
        }
        let slot = self.acquire_slot();
        if self.lock().dead {
            return Ok(ConnectionAction::Close);
        }
        self.record(req);
        if faults
            .crash_on
            .as_ref()
            .is_some_and(|text| req.path.contains(text))
        {
            self.crash();
            return Ok(ConnectionAction::Close);
        }
        let factor = if faults.cold { 4 } else { 1 };
        thread::sleep(self.opts.work * factor + Duration::from_millis(faults.slow_ms));
        drop(slot);
        if faults.die_after_run {
            return Ok(ConnectionAction::Close);
        }
        if let Some(total) = req.query("stream").and_then(|v| v.parse().ok()) {
            return self.stream_body(total, stream);
        }
        let load = self.load();
        let headers = [("target-state", state), ("target-load", load.as_str())];
        if self.fails_now(faults) {
            return respond(stream, 500, &headers, b"failed");
        }
        let body = self.body(req);
        if faults.die_in_body {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes())?;
            stream.write_all(&body[..body.len() / 2])?;
            return Ok(ConnectionAction::Close);
        }
        respond(stream, 200, &headers, &body)
    }
}

struct SlotGuard<'a> {
    service: &'a Service,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.service.lock().running -= 1;
        self.service.slot_free.notify_one();
    }
}

impl Handler for Service {
    fn handle(
        &self,
        connection: u64,
        req: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let (faults, dead) = {
            let mut state = self.lock();
            state.last_connection = state.last_connection.max(connection);
            if state.record_received {
                state.received.extend_from_slice(&req.raw);
            }
            (state.faults.clone(), state.dead)
        };
        if req.path == "/control/faults" {
            if let Ok(faults) = serde_json::from_slice(&req.body) {
                self.lock().faults = faults;
            }
            return respond(stream, 200, &[], b"{}");
        }
        if req.path == "/control/log" {
            let body = serde_json::to_vec(&self.lock().log)?;
            return respond(stream, 200, &[], &body);
        }
        if dead {
            return Ok(ConnectionAction::Close);
        }
        if faults.silent || connection <= faults.silent_up_to_connection {
            thread::sleep(Duration::from_secs(3600));
            return Ok(ConnectionAction::Close);
        }
        if req.plain_path() == "/healthz" {
            let headers = [("target-state", Self::state_name(&faults))];
            return respond(stream, 200, &headers, b"ok");
        }
        self.run_request(req, &faults, stream)
    }
}
