//! Callers that record the outcomes they receive, and the comparison with the targets' logs.

mod disturb;

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use standins::{Client, Reply, WorkRecord};

pub(crate) use disturb::disturb;

/// Time limit of a caller for one response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
/// Most attempts to send one request with an idempotency key.
const MAX_SENDS: u32 = 3;

/// The response that a caller received to one arrival of a request.
#[derive(Debug, Clone)]
pub(crate) struct CallerRecord {
    /// Path of the request, different for each request.
    pub(crate) path: String,
    /// Whether the request has an idempotency key and must not run twice over all its arrivals.
    pub(crate) claimed: bool,
    /// Whether the arrival may run more than once.
    pub(crate) repeatable: bool,
    /// The outcome; empty if there was no response.
    pub(crate) outcome: String,
    /// Reason of a refusal; empty if there was none.
    pub(crate) reason: String,
    /// Identity of the arrival; empty if there was no response.
    pub(crate) request_id: String,
    /// Path and request id in the body of the answer; none if the body is incomplete.
    pub(crate) answered: Option<(String, String)>,
}

/// Sends requests of all kinds to randomly chosen daemons.
pub(crate) struct Driver {
    addresses: Vec<SocketAddr>,
    bearer: String,
    random: fastrand::Rng,
    seed: u64,
    client: Option<(usize, Client)>,
}

impl Driver {
    /// Creates a driver whose random choices are seeded with `seed`.
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: &str, seed: u64) -> Self {
        Self {
            addresses,
            bearer: format!("Bearer {key}"),
            random: fastrand::Rng::with_seed(seed),
            seed,
            client: None,
        }
    }

    /// Sends `count` requests and returns a record of each arrival.
    pub(crate) fn run(&mut self, count: u32) -> Vec<CallerRecord> {
        let mut records = Vec::new();
        for n in 0..count {
            let path = format!("/catalogue/{}-{n}", self.seed);
            match n % 3 {
                0 => records.push(self.send_once("GET", &path, None)),
                1 => records.push(self.send_once("POST", &path, None)),
                _ => self.send_until_answered(&path, &mut records),
            }
        }
        records
    }

    /// Sends a request with an idempotency key until it is answered.
    fn send_until_answered(&mut self, path: &str, records: &mut Vec<CallerRecord>) {
        for _ in 0..MAX_SENDS {
            let res = self.send_once("POST", path, Some(path));
            let is_answered = res.outcome == "answer";
            records.push(res);
            if is_answered {
                return;
            }
            self.client = None;
        }
    }

    fn send_once(&mut self, method: &str, path: &str, key: Option<&str>) -> CallerRecord {
        let reply = self.send(method, path, key);
        if !reply.as_ref().is_ok_and(|r| r.complete) {
            self.client = None;
        }
        let header = |name| {
            let value = reply.as_ref().ok().and_then(|r| r.header(name));
            value.unwrap_or_default().to_owned()
        };
        CallerRecord {
            path: path.to_owned(),
            claimed: key.is_some(),
            repeatable: method == "GET",
            outcome: header("chervillug-outcome"),
            reason: reply.as_ref().map(reason_of).unwrap_or_default(),
            request_id: header("chervillug-request-id"),
            answered: reply.as_ref().ok().and_then(answered_request),
        }
    }

    fn send(&mut self, method: &str, path: &str, key: Option<&str>) -> io::Result<Reply> {
        let client = match &mut self.client {
            Some((_, client)) => client,
            None => {
                let i = self.random.usize(0..self.addresses.len());
                let client = Client::connect(self.addresses[i], REQUEST_TIMEOUT)?;
                &mut self.client.insert((i, client)).1
            }
        };
        let mut headers = vec![("authorization", self.bearer.as_str())];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        client.send(method, path, &headers, b"")
    }
}

fn reason_of(reply: &Reply) -> String {
    reply.json()["reason"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Returns the path and request id stated in a complete answer of a target.
fn answered_request(reply: &Reply) -> Option<(String, String)> {
    let body = reply.json();
    let text = |name: &str| body[name].as_str().map(str::to_owned);
    if !reply.complete || reply.status != 200 {
        return None;
    }
    Some((text("path")?, text("request_id")?))
}

/// Compares the records of callers with the requests that targets ran, and describes each
/// mismatch. The measurement `outcomes` counts double runs by the prefix `ran ` of a description.
pub(crate) fn mismatches(records: &[CallerRecord], log: &[WorkRecord]) -> Vec<String> {
    let mut by_id: HashMap<&str, u32> = HashMap::new();
    let mut by_path: HashMap<&str, u32> = HashMap::new();
    for record in log {
        *by_id.entry(&record.request_id).or_default() += 1;
        *by_path.entry(&record.path).or_default() += 1;
    }
    let mut found = Vec::new();
    for res in records {
        let runs = by_id.get(res.request_id.as_str()).copied().unwrap_or(0);
        if res.outcome == "not-run" && runs > 0 {
            found.push(format!("outcome not-run, but ran {runs} times: {res:?}"));
        }
        if res.outcome == "answer" && runs == 0 {
            found.push(format!("outcome answer, but never ran: {res:?}"));
        }
        if !res.repeatable && runs > 1 {
            found.push(format!("ran {runs} times, but is not repeatable: {res:?}"));
        }
        let named = res.answered.as_ref();
        if named.is_some_and(|(path, id)| *path != res.path || *id != res.request_id) {
            found.push(format!("answer belongs to another request: {res:?}"));
        }
    }
    let mut claimed: Vec<&str> = records
        .iter()
        .filter(|res| res.claimed)
        .map(|res| res.path.as_str())
        .collect();
    claimed.dedup();
    for path in claimed {
        let runs = by_path.get(path).copied().unwrap_or(0);
        if runs > 1 {
            found.push(format!(
                "ran {runs} times over all arrivals, but is claimed: {path}"
            ));
        }
    }
    found
}
