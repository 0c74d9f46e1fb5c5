//! Limit on the extra load that hedged requests add to one service.

use crate::clock::BootTime;

/// Length of the window over which the limit holds, in s. It is that of the operator's limit on
/// repeated requests.
const WINDOW_S: u64 = 10;
/// Number of counted seconds: those of the window, and the current one, which is not complete.
const SECONDS: usize = WINDOW_S as usize + 1;
/// Tolerance of the comparison, for shares such as 0.1 that have no exact representation.
const EPSILON: f64 = 1e-9;

/// Requests and second attempts in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Second {
    /// Number of the second since boot.
    number: u64,
    requests: u32,
    hedges: u32,
}

/// Limits the second attempts of one service to a share of its requests over a sliding window.
///
/// Each daemon counts its own requests only, so that the limit holds for the fleet without messages,
/// whether daemons are partitioned or suspended. There is no room in the first window, in which the
/// second attempts before a restart may still count.
#[derive(Debug, Clone, PartialEq)]
pub struct HedgeLimit {
    share: f64,
    started_at: BootTime,
    seconds: [Second; SECONDS],
}

impl HedgeLimit {
    /// Creates a limit of `share` second attempts for each request, without recorded requests.
    pub fn new(share: f64, now: BootTime) -> Self {
        Self {
            share,
            started_at: now,
            seconds: [Second::default(); SECONDS],
        }
    }

    /// Records a request that is about to be sent to a target for the first time.
    pub fn record_request(&mut self, now: BootTime) {
        self.current(now).requests += 1;
    }

    /// Returns whether one more second attempt is within the limit.
    pub fn has_room(&self, now: BootTime) -> bool {
        if now.since(self.started_at).as_secs() < WINDOW_S {
            return false;
        }
        let now_s = now.as_duration().as_secs();
        let within = |s: &&Second, age_s: u64| s.number <= now_s && s.number + age_s >= now_s;
        // Both sums err on the safe side of the window: that of the requests covers less than it,
        // that of the second attempts covers more.
        let requests = self.seconds.iter().filter(|s| within(s, WINDOW_S - 1));
        let requests: u32 = requests.map(|s| s.requests).sum();
        let hedges = self.seconds.iter().filter(|s| within(s, WINDOW_S));
        let hedges: u32 = hedges.map(|s| s.hedges).sum();
        f64::from(hedges + 1) <= f64::from(requests) * self.share + EPSILON
    }

    /// Records a second attempt if it is within the limit; returns whether it is.
    pub fn try_take(&mut self, now: BootTime) -> bool {
        let has_room = self.has_room(now);
        self.current(now).hedges += u32::from(has_room);
        has_room
    }

    fn current(&mut self, now: BootTime) -> &mut Second {
        let number = now.as_duration().as_secs();
        let second = &mut self.seconds[(number % SECONDS as u64) as usize];
        if second.number != number {
            *second = Second {
                number,
                ..Second::default()
            };
        }
        second
    }
}
