//! Callers that note what they are told, and the comparison with the targets' logs.

mod disturb;

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use standins::{Client, Reply, WorkRecord};

pub(crate) use disturb::disturb;

/// Longest time that a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(15);
/// Most sends of one request with an idempotency key.
const MAX_SENDS: u32 = 3;

/// What a caller was told of one arrival.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    /// Path of the request, different for each request.
    pub(crate) path: String,
    /// Whether the request must not run twice over all its arrivals.
    pub(crate) claimed: bool,
    /// Whether the arrival may run more than once.
    pub(crate) repeatable: bool,
    /// The outcome; empty when there was no answer.
    pub(crate) outcome: String,
    /// Reason of a refusal; empty when there was none.
    pub(crate) reason: String,
    /// Identity of the arrival; empty when there was no answer.
    pub(crate) request_id: String,
    /// Path and request id named by the answer's body; none when it is not whole.
    pub(crate) answered: Option<(String, String)>,
}

/// Sends requests of all kinds to daemons in turn.
pub(crate) struct Driver {
    addresses: Vec<SocketAddr>,
    bearer: String,
    random: fastrand::Rng,
    seed: u64,
    client: Option<(usize, Client)>,
}

impl Driver {
    /// Makes a driver whose choices follow from `seed`.
    pub(crate) fn new(addresses: Vec<SocketAddr>, key: &str, seed: u64) -> Self {
        Self {
            addresses,
            bearer: format!("Bearer {key}"),
            random: fastrand::Rng::with_seed(seed),
            seed,
            client: None,
        }
    }

    /// Sends `count` requests and returns what was told of each arrival.
    pub(crate) fn run(&mut self, count: u32) -> Vec<Told> {
        let mut told = Vec::new();
        for n in 0..count {
            let path = format!("/catalogue/{}-{n}", self.seed);
            match n % 3 {
                0 => told.push(self.arrival("GET", &path, None)),
                1 => told.push(self.arrival("POST", &path, None)),
                _ => self.resend(&path, &mut told),
            }
        }
        told
    }

    /// Sends a request with an idempotency key until it is answered.
    fn resend(&mut self, path: &str, told: &mut Vec<Told>) {
        for _ in 0..MAX_SENDS {
            let one = self.arrival("POST", path, Some(path));
            let answered = one.outcome == "answer";
            told.push(one);
            if answered {
                return;
            }
            self.client = None;
        }
    }

    fn arrival(&mut self, method: &str, path: &str, key: Option<&str>) -> Told {
        let reply = self.send(method, path, key);
        if !reply.as_ref().is_ok_and(|r| r.complete) {
            self.client = None;
        }
        let header = |name| {
            let value = reply.as_ref().ok().and_then(|r| r.header(name));
            value.unwrap_or_default().to_owned()
        };
        Told {
            path: path.to_owned(),
            claimed: key.is_some(),
            repeatable: method == "GET",
            outcome: header("chervillug-outcome"),
            reason: reply.as_ref().map(reason_of).unwrap_or_default(),
            request_id: header("chervillug-request-id"),
            answered: reply.as_ref().ok().and_then(named),
        }
    }

    fn send(&mut self, method: &str, path: &str, key: Option<&str>) -> io::Result<Reply> {
        let client = match &mut self.client {
            Some((_, client)) => client,
            None => {
                let i = self.random.usize(0..self.addresses.len());
                let client = Client::connect(self.addresses[i], PATIENCE)?;
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

/// Returns the path and request id that a whole target's answer names.
fn named(reply: &Reply) -> Option<(String, String)> {
    let body = reply.json();
    let text = |name: &str| body[name].as_str().map(str::to_owned);
    if !reply.complete || reply.status != 200 {
        return None;
    }
    Some((text("path")?, text("request_id")?))
}

/// Compares what callers were told with what targets ran; returns each mismatch as text.
pub(crate) fn mismatches(told: &[Told], log: &[WorkRecord]) -> Vec<String> {
    let mut by_id: HashMap<&str, u32> = HashMap::new();
    let mut by_path: HashMap<&str, u32> = HashMap::new();
    for record in log {
        *by_id.entry(&record.request_id).or_default() += 1;
        *by_path.entry(&record.path).or_default() += 1;
    }
    let mut found = Vec::new();
    for one in told {
        let runs = by_id.get(one.request_id.as_str()).copied().unwrap_or(0);
        if one.outcome == "not-run" && runs > 0 {
            found.push(format!("told not-run, ran {runs} times: {one:?}"));
        }
        if one.outcome == "answer" && runs == 0 {
            found.push(format!("told an answer, never ran: {one:?}"));
        }
        if !one.repeatable && runs > 1 {
            found.push(format!("ran {runs} times: {one:?}"));
        }
        let named = one.answered.as_ref();
        if named.is_some_and(|(path, id)| *path != one.path || *id != one.request_id) {
            found.push(format!("answer of another request: {one:?}"));
        }
    }
    let mut claimed: Vec<&str> = told
        .iter()
        .filter(|one| one.claimed)
        .map(|one| one.path.as_str())
        .collect();
    claimed.dedup();
    for path in claimed {
        let runs = by_path.get(path).copied().unwrap_or(0);
        if runs > 1 {
            found.push(format!("ran {runs} times over all its arrivals: {path}"));
        }
    }
    found
}
