//! Ticks, suspicion exchange and probes of the simulated fleet.

use chervillug::{clock::BootTime, health::SuspicionMessage};

use crate::gray_scenario::{Fault, Policy};

use super::{
    boot_time, event::Event, Fleet, FLOOR, NETWORK_LATENCY_S, PROBE_INTERVAL_S, SERVICE,
    SUSPICION_INTERVAL_S, TICK_INTERVAL_S,
};

impl Fleet {
    pub(super) fn tick(&mut self) {
        self.schedule(TICK_INTERVAL_S, Event::Tick);
        let now = boot_time(self.now_s);
        let has_started = self.now_s >= self.scenario.onset_s;
        if has_started && self.scenario.policy == Policy::Informed && !self.is_faulty_removed {
            self.is_faulty_removed = true;
            self.update_target_list();
        }
        for i in 0..self.daemons.len() {
            let decisions = self.daemons[i].scheduler.tick(now);
            self.handle_decisions(decisions);
            self.check_daemon(i, has_started, now);
        }
        let all_ejected = self.daemons.iter().all(|d| d.has_ejected);
        if all_ejected && self.outcome.detect_s.is_none() {
            self.outcome.detect_s = Some(self.now_s - self.scenario.onset_s);
        }
    }

    fn check_daemon(&mut self, i: usize, has_started: bool, now: BootTime) {
        let daemon = &mut self.daemons[i];
        let balancer = &mut daemon.scheduler.balancer;
        let Some(id) = balancer.target_by_name("target-0").map(|t| t.id) else {
            return;
        };
        let suspicion = balancer.detector().health(id, now).suspicion;
        daemon.has_ejected |= has_started && suspicion >= 1.0;
        let live = self.scenario.site.targets - usize::from(self.is_faulty_removed);
        let routed = balancer.routed_targets(SERVICE, now).len() as f64;
        self.outcome.floor_violations += u64::from(routed < FLOOR * live as f64 - 1e-9);
    }

    pub(super) fn run_suspicion_round(&mut self) {
        self.schedule(SUSPICION_INTERVAL_S, Event::Round);
        let now = boot_time(self.now_s);
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
                self.schedule(
                    NETWORK_LATENCY_S,
                    Event::Message(i, to.unwrap_or(0), out.msg),
                );
            }
        }
    }

    pub(super) fn receive_message(&mut self, from: usize, to: usize, msg: SuspicionMessage) {
        let now = boot_time(self.now_s);
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

    pub(super) fn send_probes(&mut self) {
        self.schedule(PROBE_INTERVAL_S, Event::Probe);
        let now = boot_time(self.now_s);
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
