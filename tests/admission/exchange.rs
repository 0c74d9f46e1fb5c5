//! Messages between the simulated daemons.

use chervillug::admission::LevelMessage;

use super::{
    fleet::{at, Daemon, Fleet, CENTRES, DAEMONS, WINDOW_MS},
    outcomes::Network,
};

/// Time between two polls of a daemon, ms.
const POLL_MS: u64 = 700;
/// Time between two exchanges of a reader, ms.
const EXCHANGE_MS: u64 = 500;
/// Time between two checks whether levels are pushed, ms.
const CHECK_MS: u64 = 100;

impl Fleet<'_> {
    /// Lets daemons poll the reader of their data centre, and readers exchange their sums.
    pub(super) fn exchange(&mut self, now: u64) {
        for i in 0..DAEMONS {
            let is_due = now % POLL_MS == (i as u64 * 277) % POLL_MS;
            if is_due && i >= CENTRES {
                self.poll(i, i % CENTRES, now);
            }
        }
        for i in 0..CENTRES {
            if now % EXCHANGE_MS == (i as u64 * 167) % EXCHANGE_MS {
                self.exchange_centres(i, now);
            }
            if now % CHECK_MS == 0 {
                self.push(i, now);
            }
        }
    }

    fn poll(&mut self, i: usize, reader: usize, now: u64) {
        if self.is_lost(now) {
            return;
        }
        let report = self.daemons[i].recorder.report(at(now));
        let host = format!("h{i}");
        if report.services.is_empty() && !self.daemons[i].gate.has_levels() {
            return;
        }
        let aggregator = &mut self.daemons[reader].aggregator;
        aggregator.apply_daemon(&host, report, at(now));
        let levels = self.levels(reader, now);
        self.daemons[i].gate.apply(&levels, at(now));
    }

    /// Lets a reader push levels to the daemons of its data centre.
    fn push(&mut self, reader: usize, now: u64) {
        let levels = self.levels(reader, now);
        if self.is_lost(now) || !self.daemons[reader].pacer.should_push(&levels, at(now)) {
            return;
        }
        for i in (reader..DAEMONS).step_by(CENTRES) {
            let sim = &mut self.daemons[i];
            sim.gate.apply(&levels, at(now));
            let report = sim.recorder.report(at(now));
            if i != reader {
                self.messages += 2;
                let aggregator = &mut self.daemons[reader].aggregator;
                aggregator.apply_daemon(&format!("h{i}"), report, at(now));
            }
        }
    }

    fn is_lost(&mut self, now: u64) -> bool {
        match self.load.network {
            Network::LossyPolls => self.rng.usize(0..3) == 0,
            Network::PollsLostAfterStart => now > WINDOW_MS.start + 2500,
            _ => false,
        }
    }

    fn levels(&mut self, reader: usize, now: u64) -> LevelMessage {
        let sim = &mut self.daemons[reader];
        let own = sim.recorder.report(at(now));
        sim.aggregator.levels(&own, DAEMONS, at(now))
    }

    fn exchange_centres(&mut self, i: usize, now: u64) {
        let sums = |sim: &mut Daemon| {
            let own = sim.recorder.report(at(now));
            sim.aggregator.centre_sums(&own, at(now))
        };
        let own = sums(&mut self.daemons[i]);
        if !own.services.is_empty() && self.load.network != Network::CutCentres {
            for other in (0..CENTRES).filter(|c| *c != i) {
                let reply = sums(&mut self.daemons[other]);
                let (name, other_name) = (format!("c{i}"), format!("c{other}"));
                let aggregator = &mut self.daemons[other].aggregator;
                aggregator.apply_centre(&name, own.clone(), at(now));
                let aggregator = &mut self.daemons[i].aggregator;
                aggregator.apply_centre(&other_name, reply, at(now));
                self.messages += 2;
            }
        }
        let levels = self.levels(i, now);
        self.daemons[i].gate.apply(&levels, at(now));
    }
}
