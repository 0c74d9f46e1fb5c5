//! State of the hedged requests of one service.

use std::{rc::Rc, time::Duration};

use rustc_hash::FxHashMap;

use crate::clock::BootTime;

use super::{HedgeLimit, RouteLatencies};

/// Most routes of one service whose latencies are kept, in about 2 KB each.
const MAX_ROUTES: usize = 256;
/// Time without requests after which the latencies of a route may be dropped for another one.
const ROUTE_RETENTION: Duration = Duration::from_secs(60);
/// Number of first attempts from which a sudden slowness of the service is recognized.
const RECENT_ATTEMPTS: u32 = 16;
/// Most of these attempts that may have exceeded their delay. Of a service that is not slow one in
/// 20 does; that more than 3 of 16 do by chance has a probability below 1%.
const MAX_LATE_ATTEMPTS: u32 = 3;

/// Latencies of the routes of one service, and the limit on its second attempts.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceHedging {
    share: f64,
    limit: HedgeLimit,
    routes: FxHashMap<Rc<str>, RouteLatencies>,
    /// Whether each of the last first attempts exceeded its delay, one bit each.
    late: u32,
}

impl ServiceHedging {
    /// Creates the state of a service with a limit of `share` second attempts for each request.
    pub fn new(share: f64, now: BootTime) -> Self {
        Self {
            share,
            limit: HedgeLimit::new(share, now),
            routes: FxHashMap::default(),
            late: 0,
        }
    }

    /// Records a request that is about to be sent to a target for the first time.
    pub fn record_request(&mut self, now: BootTime) {
        self.limit.record_request(now);
    }

    /// Returns the time after which a second attempt is considered; `None` without enough latencies.
    pub fn delay(&self, route: &str) -> Option<Duration> {
        self.routes.get(route)?.delay()
    }

    /// Returns the usual latency of a route; zero without enough latencies.
    pub fn usual_latency(&self, route: &str) -> Duration {
        let route = self.routes.get(route);
        route.map_or(Duration::ZERO, RouteLatencies::usual)
    }

    /// Records that a first attempt exceeded its delay, or that it was answered before.
    pub fn record_late(&mut self, is_late: bool) {
        self.late = (self.late << 1 | u32::from(is_late)) & ((1 << RECENT_ATTEMPTS) - 1);
    }

    /// Records the time that a first attempt took, or the time after which it was cancelled.
    pub fn record_latency(&mut self, route: &Rc<str>, latency: Duration, now: BootTime) {
        if let Some(latencies) = self.routes.get_mut(route) {
            return latencies.record(latency, now);
        }
        if self.routes.len() >= MAX_ROUTES {
            let is_used = |r: &RouteLatencies| now.since(r.recorded_at()) < ROUTE_RETENTION;
            self.routes.retain(|_, route| is_used(route));
        }
        if self.routes.len() < MAX_ROUTES {
            let mut latencies = RouteLatencies::new(self.share, now);
            latencies.record(latency, now);
            self.routes.insert(route.clone(), latencies);
        }
    }

    /// Returns whether the service is slow as a whole, judged by this route and by the first
    /// attempts on all routes.
    pub fn is_slow(&self, route: &str) -> bool {
        let is_route_slow = self.routes.get(route).is_some_and(RouteLatencies::is_slow);
        is_route_slow || self.late.count_ones() > MAX_LATE_ATTEMPTS
    }

    /// Returns whether one more second attempt is within the limit.
    pub fn has_room(&self, now: BootTime) -> bool {
        self.limit.has_room(now)
    }

    /// Records a second attempt if it is within the limit; returns whether it is.
    pub fn try_take(&mut self, now: BootTime) -> bool {
        self.limit.try_take(now)
    }
}
