//! Load of one workspace on all daemons, and the check of what ran.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use standins::{Client, Cluster};

/// Threads that send.
const SENDERS: usize = 8;
/// Longest time that a sender waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// One request that was sent.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    path: String,
    sent: Instant,
    answered: Option<Instant>,
    /// Status of the answer, none when there was none.
    pub(crate) status: Option<u16>,
}

/// A request that ran, and the time within which it was admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Ran {
    sent: Instant,
    answered: Option<Instant>,
}

/// Senders that send requests at random daemons.
pub(crate) struct Load {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<Sent>>>,
}

impl Load {
    /// Sends about `rate` requests a second until [`Load::finish`].
    pub(crate) fn start(cluster: &Cluster, key: &str, rate: f64, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let daemons: Vec<SocketAddr> = cluster.daemons.iter().map(|d| d.caller_address).collect();
        let gap = Duration::from_secs_f64(SENDERS as f64 / rate);
        let threads = (0..SENDERS).map(|i| {
            let (daemons, key, stop) = (daemons.clone(), key.to_owned(), stop.clone());
            let random = fastrand::Rng::with_seed(seed * 100 + i as u64);
            thread::spawn(move || send_all(i, &daemons, &key, gap, random, &stop))
        });
        Self {
            threads: threads.collect(),
            stop,
        }
    }

    /// Stops and returns all requests that were sent.
    pub(crate) fn finish(self) -> Vec<Sent> {
        self.stop.store(true, Ordering::Relaxed);
        let sent = self.threads.into_iter().map(|t| t.join().expect("sender"));
        sent.flatten().collect()
    }
}

fn send_all(
    i: usize,
    daemons: &[SocketAddr],
    key: &str,
    gap: Duration,
    mut random: fastrand::Rng,
    stop: &AtomicBool,
) -> Vec<Sent> {
    let bearer = format!("Bearer {key}");
    let headers = [("authorization", bearer.as_str())];
    let mut all = Vec::new();
    let mut due = Instant::now() + gap.mul_f64(random.f64());
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        due = due.max(Instant::now() - gap) + gap.mul_f64(0.5 + random.f64());
        let daemon = daemons[random.usize(..daemons.len())];
        let path = format!("/catalogue/{i}-{}", all.len());
        let sent = Instant::now();
        let reply = Client::connect(daemon, ANSWER_TIMEOUT)
            .and_then(|mut c| c.send("POST", &path, &headers, b""));
        let status = reply.ok().map(|r| r.status);
        all.push(Sent {
            path,
            sent,
            answered: status.map(|_| Instant::now()),
            status,
        });
    }
    all
}

/// Returns the requests that a target ran.
pub(crate) fn runs(cluster: &Cluster, sent: &[Sent]) -> Vec<Ran> {
    let logs = cluster.targets.iter().flat_map(|t| t.log());
    let ran: BTreeSet<String> = logs.map(|w| w.path).collect();
    let of_sent = sent.iter().filter(|s| ran.contains(&s.path));
    of_sent
        .map(|s| Ran {
            sent: s.sent,
            answered: s.answered,
        })
        .collect()
}

/// An interval in which more ran than the plan allows.
#[derive(Debug)]
pub(crate) struct OverPlan {
    pub(crate) ran: usize,
    pub(crate) seconds: f64,
}

/// Returns the first interval in which surely more was admitted than the plan allows.
///
/// A request without an answer may have been admitted at any time after it was sent, so that
/// it counts in no interval that ends.
pub(crate) fn over_plan(ran: &[Ran], rate: f64, burst: f64) -> Option<OverPlan> {
    for from in ran.iter().map(|r| r.sent) {
        let inside = ran.iter().filter(|r| r.sent >= from);
        let mut ends: Vec<Instant> = inside.filter_map(|r| r.answered).collect();
        ends.sort();
        for (i, end) in ends.iter().enumerate() {
            let seconds = (*end - from).as_secs_f64();
            if (i + 1) as f64 > burst + rate * seconds + 1e-6 {
                let ran = i + 1;
                return Some(OverPlan { ran, seconds });
            }
        }
    }
    None
}
