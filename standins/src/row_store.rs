//! Simulated row store of the users' platform, with its wire format.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use base64::{prelude::BASE64_STANDARD, Engine};
use serde_json::{json, Value};

use crate::{
    http::{respond, ConnectionAction, Handler, Request, Server},
    row_transaction::{Name, Transaction},
};

/// Maximum number of rows in one response.
const PAGE_ROWS: usize = 500;

/// Faults of the store, which can be changed at run time.
#[derive(Debug, Clone, Default)]
pub struct RowStoreFaults {
    /// Closes every connection without a response.
    pub down: bool,
    /// Answers every call with this status.
    pub refuse_with: Option<u16>,
    /// Delay before each response.
    pub delay: Duration,
    /// Delay between the processing of a call and its response.
    pub response_delay: Duration,
    /// Number of subsequent writes that take effect but whose response is lost.
    pub lose_write_answers: u32,
}

/// Name of a row, ordered like the rows of a response.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct RowName {
    table: String,
    part: String,
    key: String,
}

impl RowName {
    fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}

impl From<&Name> for RowName {
    fn from(name: &Name) -> Self {
        Self::new(&name.table, &name.part, &name.key)
    }
}

#[derive(Debug, Clone)]
struct StoredRow {
    value: Option<Vec<u8>>,
    version: u64,
}

/// A copy of the contents of a store, to which it can be rolled back.
#[derive(Debug, Clone)]
pub struct RowStoreCopy {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
}

impl RowStoreCopy {
    /// Returns the copy without the row `key` of a table, in whichever part it is.
    pub fn without(mut self, table: &str, key: &str) -> Self {
        self.rows.retain(|n, _| n.table != table || n.key != key);
        self
    }

    /// Returns the value of the row `key` of a table, in whichever part it is.
    pub fn get(&self, table: &str, key: &str) -> Option<&[u8]> {
        let row = |(n, _): &(&RowName, _)| n.table == table && n.key == key;
        self.rows.iter().find(row)?.1.value.as_deref()
    }
}

#[derive(Default)]
struct State {
    rows: BTreeMap<RowName, StoredRow>,
    version: u64,
    /// The change history up to this version is no longer available.
    truncated_up_to: u64,
    faults: RowStoreFaults,
    calls: u64,
    /// Era stated in all responses.
    era: Option<u64>,
    /// Header value stated in place of the era.
    stated_era: Option<String>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running simulated store; stops when dropped.
pub struct RowStore {
    shared: Arc<Shared>,
    server: Server,
}

impl RowStore {
    /// Starts an empty store at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let shared = Arc::new(Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        });
        let server = Server::start(address, shared.clone())?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Writes a row as the operator or a target would.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.shared.state();
        state.version += 1;
        state.set(RowName::new(table, "", key), Some(value.to_vec()));
        self.shared.changed.notify_all();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.shared.state();
        state.version += 1;
        state.set(RowName::new(table, "", key), None);
        self.shared.changed.notify_all();
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state();
        let row = state.rows.get(&RowName::new(table, "", key))?;
        row.value.clone()
    }

    /// Discards the change history; the rows are kept.
    pub fn forget_history(&self) {
        let mut state = self.shared.state();
        state.truncated_up_to = state.version;
        self.shared.changed.notify_all();
    }

    /// Sets the era that all responses state; `None` states none, as earlier stores do.
    pub fn set_era(&self, era: Option<u64>) {
        self.shared.state().era = era;
    }

    /// Makes all responses state `value` in place of the era, or the era again.
    pub fn set_stated_era(&self, value: Option<&str>) {
        self.shared.state().stated_era = value.map(str::to_owned);
    }

    /// Copies the contents.
    pub fn copy(&self) -> RowStoreCopy {
        let state = self.shared.state();
        RowStoreCopy {
            rows: state.rows.clone(),
            version: state.version,
        }
    }

    /// Returns to an older copy, which loses all later writes, and starts a new era.
    pub fn roll_back(&self, copy: &RowStoreCopy) {
        let mut state = self.shared.state();
        state.rows = copy.rows.clone();
        state.version = copy.version;
        state.era = Some(state.era.map_or(1, |era| era + 1));
        self.shared.changed.notify_all();
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: RowStoreFaults) {
        self.shared.state().faults = faults;
        self.shared.changed.notify_all();
    }

    /// Returns the number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }
}

impl State {
    fn stated_era(&self) -> Option<String> {
        let era = self.era.map(|era| era.to_string());
        self.stated_era.clone().or(era)
    }

    fn set(&mut self, name: RowName, value: Option<Vec<u8>>) {
        let version = self.version;
        self.rows.insert(name, StoredRow { value, version });
    }

    fn version_of(&self, name: &Name) -> u64 {
        let row = self.rows.get(&RowName::from(name));
        row.filter(|r| r.value.is_some()).map_or(0, |r| r.version)
    }

    fn row_json(&self, name: &Name) -> Option<Value> {
        let name = RowName::from(name);
        let row = self.rows.get(&name)?;
        Some(row_json(&name, row))
    }

    /// Returns the rows of a table that satisfy `filter`, ordered by key.
    fn rows(&self, table: &str, filter: impl Fn(&RowName, &StoredRow) -> bool) -> Vec<Value> {
        let table_rows = self.rows.iter().filter(|(name, _)| name.table == table);
        let matching = table_rows.filter(|(name, row)| filter(name, row));
        let rows = matching.map(|(name, row)| row_json(name, row));
        rows.collect()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn read(&self, req: &Request) -> Answer {
        let table = req.query("table").unwrap_or_default();
        let from = req.query("from").unwrap_or_default();
        let part = req.query("part").unwrap_or_default();
        let state = self.state();
        let mut rows = state.rows(&table, |name, row| {
            name.part == part && row.value.is_some() && name.key >= from
        });
        let truncated = rows.len() > PAGE_ROWS;
        rows.truncate(PAGE_ROWS);
        let (ver, now_s) = (state.version, self.now_s());
        let response = json!({"rows": rows, "truncated": truncated, "ver": ver, "nowS": now_s});
        Answer::new(200, response, &state)
    }

    fn follow(&self, req: &Request) -> Answer {
        let number = |name: &str| req.query(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let table = req.query("table").unwrap_or_default();
        let after = number("after");
        let end = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.state();
        loop {
            if after < state.truncated_up_to || after > state.version {
                return Answer::new(410, json!({}), &state);
            }
            let rows = state.rows(&table, |_, row| row.version > after);
            let left = end.saturating_duration_since(Instant::now());
            let has_fault = state.faults.down || state.faults.refuse_with.is_some();
            if !rows.is_empty() || left.is_zero() || has_fault {
                let (ver, now_s) = (state.version, self.now_s());
                let response = json!({"rows": rows, "ver": ver, "nowS": now_s});
                return Answer::new(200, response, &state);
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|e| e.into_inner()).0;
        }
    }

    fn reject(&self, status: u16) -> Answer {
        Answer::new(status, json!({}), &self.state())
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Ok(tx) = serde_json::from_slice::<Transaction>(body) else {
            return self.reject(400);
        };
        if !tx.is_of_one_part() {
            return self.reject(400);
        }
        let protected = |table: &str| table == "op" || table == "servers";
        if tx.puts.iter().any(|p| protected(&p.table)) {
            return self.reject(403);
        }
        let mut state = self.state();
        if tx.expect.iter().any(|e| state.version_of(e) != e.ver) {
            let rows: Vec<Value> = tx.expect.iter().filter_map(|e| state.row_json(e)).collect();
            let response = json!({"rows": rows, "ver": state.version, "nowS": self.now_s()});
            return Answer::new(412, response, &state);
        }
        state.version += 1;
        for put in &tx.puts {
            let value = BASE64_STANDARD.decode(&put.value).unwrap_or_default();
            state.set(RowName::new(&put.table, &put.part, &put.key), Some(value));
        }
        for name in &tx.deletes {
            state.set(name.into(), None);
        }
        self.changed.notify_all();
        let response = json!({"ver": state.version, "nowS": self.now_s()});
        Answer::new(200, response, &state)
    }

    /// Returns whether the response to the current write must be dropped, and counts it if so.
    fn take_lost_response(&self) -> bool {
        let mut state = self.state();
        let left = state.faults.lose_write_answers;
        state.faults.lose_write_answers = left.saturating_sub(1);
        left > 0
    }
}

/// A response, with the era in which it was made.
struct Answer {
    status: u16,
    body: Value,
    era: Option<String>,
}

impl Answer {
    fn new(status: u16, body: Value, state: &State) -> Self {
        let era = state.stated_era();
        Self { status, body, era }
    }

    fn send(&self, stream: &mut TcpStream) -> io::Result<ConnectionAction> {
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(self.era.as_deref().map(|era| ("store-era", era)));
        respond(
            stream,
            self.status,
            &headers,
            self.body.to_string().as_bytes(),
        )
    }
}

impl Handler for Shared {
    fn handle(
        &self,
        _: u64,
        req: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<ConnectionAction> {
        let faults = {
            let mut state = self.state();
            state.calls += 1;
            state.faults.clone()
        };
        if faults.down {
            return Ok(ConnectionAction::Close);
        }
        if let Some(status) = faults.refuse_with {
            return self.reject(status).send(stream);
        }
        thread::sleep(faults.delay);
        let answer = match req.plain_path() {
            "/rows-get" => self.read(req),
            "/rows-feed" => self.follow(req),
            "/rows-tx" => self.transact(&req.body),
            _ => self.reject(404),
        };
        thread::sleep(faults.response_delay);
        if self.state().faults.down {
            return Ok(ConnectionAction::Close);
        }
        if req.plain_path() == "/rows-tx" && self.take_lost_response() {
            return Ok(ConnectionAction::Close);
        }
        answer.send(stream)
    }
}

fn row_json(name: &RowName, row: &StoredRow) -> Value {
    let RowName { table, part, key } = name;
    let version = row.version;
    match &row.value {
        Some(value) => {
            let value = BASE64_STANDARD.encode(value);
            json!({"table": table, "part": part, "key": key, "value": value, "ver": version})
        }
        None => json!({"table": table, "part": part, "key": key, "ver": version, "removed": true}),
    }
}
