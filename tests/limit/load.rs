//! Load of one workspace on all daemons, and the check of the requests that ran.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicU32, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use standins::{Client, Cluster};

/// Number of sender threads.
const SENDERS: usize = 8;
/// Longest time that a sender waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A request that was sent.
#[derive(Debug, Clone)]
pub(crate) struct SentRequest {
    path: String,
    sent_at: Instant,
    responded_at: Option<Instant>,
    /// Status of the response; `None` if none arrived.
    pub(crate) status: Option<u16>,
}

/// A request that ran, with the interval in which it was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ExecutedRequest {
    sent_at: Instant,
    responded_at: Option<Instant>,
}

/// Threads that send requests to random daemons.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<SentRequest>>>,
}

impl Load {
    /// Sends about `rate` requests per second until [`Load::finish`].
    pub(crate) fn start(cluster: &Cluster, key: &str, rate: f64, seed: u64) -> Self {
        static NEXT_LOAD: AtomicU32 = AtomicU32::new(0);
        let load = NEXT_LOAD.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let daemons: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.caller_address).collect();
        let gap = Duration::from_secs_f64(SENDERS as f64 / rate);
        let threads = (0..SENDERS).map(|i| {
            let (daemons, key, stop) = (daemons.clone(), key.to_owned(), stop.clone());
            let random = fastrand::Rng::with_seed(seed * 100 + i as u64);
            thread::spawn(move || {
                send_all(
                    &format!("/catalogue/{load}-{i}"),
                    &daemons,
                    &key,
                    gap,
                    random,
                    &stop,
                )
            })
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops the senders and returns all requests that were sent.
    pub(crate) fn finish(self) -> Vec<SentRequest> {
        self.stop.store(true, Ordering::Relaxed);
        let sent = self.threads.into_iter().map(|t| t.join().expect("sender"));
        sent.flatten().collect()
    }
}

fn send_all(
    prefix: &str,
    daemons: &[SocketAddr],
    key: &str,
    gap: Duration,
    mut random: fastrand::Rng,
    stop: &AtomicBool,
) -> Vec<SentRequest> {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut all = Vec::new();
    let mut due = Instant::now() + gap.mul_f64(random.f64());
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due = due.max(Instant::now() - gap) + gap.mul_f64(0.5 + random.f64());
        let daemon = daemons[random.usize(..daemons.len())];
        let path = format!("{prefix}-{}", all.len());
        let sent_at = Instant::now();
        let reply = Client::connect(daemon, RESPONSE_TIMEOUT)
            .and_then(|mut c| c.send("POST", &path, &headers, b""));
        let status = reply.ok().map(|r| r.status);
        all.push(SentRequest {
            path,
            sent_at,
            responded_at: status.map(|_| Instant::now()),
            status,
        });
    }
    all
}

/// Returns the requests that a target executed.
pub(crate) fn executed(cluster: &Cluster, sent: &[SentRequest]) -> Vec<ExecutedRequest> {
    let logs = cluster.targets.iter().flat_map(|t| t.log());
    let executed: BTreeSet<String> = logs.map(|w| w.path).collect();
    let sent_and_executed = sent.iter().filter(|s| executed.contains(&s.path));
    sent_and_executed
        .map(|s| ExecutedRequest {
            sent_at: s.sent_at,
            responded_at: s.responded_at,
        })
        .collect()
}

/// An interval in which more requests were admitted than the plan allows.
#[derive(Debug)]
pub(crate) struct PlanViolation {
    pub(crate) admitted: usize,
    pub(crate) seconds: f64,
}

/// Returns the first interval in which certainly more requests were admitted than the plan allows.
///
/// A request without a response may have been admitted at any time after it was sent, so it is not
/// counted in any bounded interval.
pub(crate) fn find_violation(
    executed: &[ExecutedRequest],
    rate: f64,
    burst: f64,
) -> Option<PlanViolation> {
    for from in executed.iter().map(|r| r.sent_at) {
        let inside = executed.iter().filter(|r| r.sent_at >= from);
        let mut ends: Vec<Instant> = inside.filter_map(|r| r.responded_at).collect();
        ends.sort();
        for (i, end) in ends.iter().enumerate() {
            let seconds = (*end - from).as_secs_f64();
            if (i + 1) as f64 > burst + rate * seconds + 1e-6 {
                let admitted = i + 1;
                return Some(PlanViolation { admitted, seconds });
            }
        }
    }
    None
}
