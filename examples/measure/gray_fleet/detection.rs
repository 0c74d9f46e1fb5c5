//! Ticks, exchanges of suspicions and probes of the fleet.

use chervillug::{clock::BootTime, health::SuspicionMessage};

use crate::gray_scenario::{Fault, Policy};

use super::{boot, event::Event, Fleet, FLOOR, LINK_S, PROBE_S, ROUND_S, SERVICE, TICK_S};

impl Fleet {
    pub(super) fn tick(&mut self) {
        self.schedule(TICK_S, Event::Tick);
        let now = boot(self.now_s);
        let begun = self.now_s >= self.scenario.onset_s;
        if begun && self.scenario.policy == Policy::Informed && !self.faulty_left {
            self.faulty_left = true;
            self.list();
        }
        for i in 0..self.daemons.len() {
            let decided = self.daemons[i].scheduler.tick(now);
            self.decide(decided);
            self.check_daemon(i, begun, now);
        }
        let all = self.daemons.iter().all(|d| d.stopped);
        if all && self.outcome.detect_s.is_none() {
            self.outcome.detect_s = Some(self.now_s - self.scenario.onset_s);
        }
    }

    fn check_daemon(&mut self, i: usize, begun: bool, now: BootTime) {
        let daemon = &mut self.daemons[i];
        let balancer = &mut daemon.scheduler.balancer;
        let Some(id) = balancer.target_by_name("target-0").map(|t| t.id) else {
            return;
        };
        let suspicion = balancer.detector().health(id, now).suspicion;
        daemon.stopped |= begun && suspicion >= 1.0;
        let live = self.scenario.site.targets - usize::from(self.faulty_left);
        let routed = balancer.routed_targets(SERVICE, now).len() as f64;
        self.outcome.floor_violations += u64::from(routed < FLOOR * live as f64 - 1e-9);
    }

    pub(super) fn round(&mut self) {
        self.schedule(ROUND_S, Event::Round);
        let now = boot(self.now_s);
        for i in 0..self.daemons.len() {
            let daemon = &mut self.daemons[i];
            for suspicion in daemon.scheduler.balancer.take_suspicions() {
                daemon.exchange.add_suspicion(&suspicion);
            }
            let round = daemon.exchange.run_round(now);
            for name in &round.alarms {
                daemon.scheduler.balancer.apply_fleet_alarm(name, now);
            }
            for out in round.outgoing {
                self.messages += 1;
                let to = out.host.trim_start_matches("entry-").parse();
                self.schedule(LINK_S, Event::Message(i, to.unwrap_or(0), out.msg));
            }
        }
    }

    pub(super) fn receive(&mut self, from: usize, to: usize, msg: SuspicionMessage) {
        let now = boot(self.now_s);
        let daemon = &mut self.daemons[to];
        match msg {
            SuspicionMessage::Reports(reports) => {
                for report in &reports {
                    let host = format!("entry-{from}");
                    daemon.exchange.add_report(&host, report, now);
                }
            }
            SuspicionMessage::Alarm(names) => {
                for name in &names {
                    daemon.scheduler.balancer.apply_fleet_alarm(name, now);
                }
            }
        }
    }

    pub(super) fn probe(&mut self) {
        self.schedule(PROBE_S, Event::Probe);
        let now = boot(self.now_s);
        let silent = self.scenario.fault == Fault::Silent && self.is_faulty(0);
        for daemon in &mut self.daemons {
            let balancer = &mut daemon.scheduler.balancer;
            for (id, address) in balancer.targets_to_probe(now) {
                let healthy = !(silent && address.port() == 9000);
                balancer.record_probe(id, healthy, None, now);
            }
        }
    }
}
