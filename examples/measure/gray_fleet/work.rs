//! Work of the simulated targets, and what its results tell their daemons.

use std::time::Duration;

use chervillug::health::{Observation, TargetState, WorkResult};

use crate::gray_scenario::Fault;

use super::{
    boot_time, event::Event, Fleet, HEALTHY_ERROR_SHARE, NETWORK_LATENCY_S, SERVICE_TIME_S,
};

impl Fleet {
    pub(super) fn is_faulty(&self, target: usize) -> bool {
        target == 0 && self.now_s >= self.scenario.onset_s
    }

    pub(super) fn start_requests(&mut self, target: usize) {
        if self.scenario.fault == Fault::Silent && self.is_faulty(target) {
            return;
        }
        while self.targets[target].running < self.scenario.site.slots {
            let Some(req) = self.targets[target].waiting.pop_front() else {
                return;
            };
            if self.requests[req].ended {
                continue;
            }
            self.targets[target].running += 1;
            let factor = match self.scenario.fault {
                Fault::Slow(factor) if self.is_faulty(target) => factor,
                Fault::ServiceSlow(factor) if self.is_fault_active() => factor,
                _ => 1.0,
            };
            let duration_s = -(1.0 - self.rng.f64()).ln() * SERVICE_TIME_S * factor;
            self.schedule(duration_s + NETWORK_LATENCY_S, Event::Completion(req));
        }
    }

    pub(super) fn handle_completion(&mut self, req: usize) {
        let target = self.requests[req].target;
        self.targets[target].running = self.targets[target].running.saturating_sub(1);
        let failed_share = match self.scenario.fault {
            Fault::Errors(share) if self.is_faulty(target) => share,
            Fault::Flap(period) if self.is_faulty(target) => {
                let periods = (self.now_s - self.scenario.onset_s) / period;
                f64::from(u8::from(periods as u64 % 2 == 0))
            }
            _ => HEALTHY_ERROR_SHARE,
        };
        let result = if self.rng.f64() < failed_share {
            WorkResult::ServerError
        } else {
            WorkResult::Success
        };
        let load = f64::from(self.targets[target].running) / f64::from(self.scenario.site.slots);
        let is_silent = self.scenario.fault == Fault::Silent && self.is_faulty(target);
        if !self.requests[req].ended && !is_silent {
            let daemon = &mut self.daemons[self.requests[req].daemon];
            if let Some(choice) = &self.requests[req].choice {
                let (id, now) = (choice.id, boot_time(self.now_s));
                let balancer = &mut daemon.scheduler.balancer;
                balancer.update_state(id, TargetState::Serving, Some(load), now);
            }
            self.end_request(req, Some(result));
        }
        self.start_requests(target);
    }

    /// Ends a request unless it has ended already, and reports its result to its daemon.
    pub(super) fn end_request(&mut self, req: usize, result: Option<WorkResult>) {
        if self.requests[req].ended {
            return;
        }
        let request = &mut self.requests[req];
        let (Some(choice), Some(result)) = (request.choice.clone(), result) else {
            return;
        };
        request.ended = true;
        if result == WorkResult::Success && request.counted {
            self.outcome.good += 1;
            self.workspaces[request.workspace].good += 1;
        }
        let obs = Observation {
            result,
            latency: Duration::from_secs_f64(self.now_s - request.started_s),
        };
        let now = boot_time(self.now_s);
        let daemon = request.daemon;
        let scheduler = &mut self.daemons[daemon].scheduler;
        let balancer = &mut scheduler.balancer;
        balancer.observe(choice.id, choice.attempt, &obs, now);
        let decisions = scheduler.release(choice.id, choice.attempt, now);
        self.handle_decisions(decisions);
    }
}
