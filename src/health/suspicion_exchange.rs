//! Exchange of suspicions against targets with other daemons. Performs no I/O itself.

use std::{cmp::Reverse, rc::Rc, time::Duration};

use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

use crate::clock::BootTime;

use super::{
    ByteBudget, EvidenceReport, FleetEvidence, Suspicion, SuspicionMessage, SuspicionReport,
};

/// Number of daemons that aggregate the evidence for a service.
const COLLECTORS: usize = 2;
/// Average rate at which the exchange may send, in bytes/s.
pub const BYTES_PER_S: f64 = 600.0;
/// Burst that the exchange may send at once, in bytes.
pub const BURST_BYTES: f64 = 64.0 * 1024.0;
/// Bytes of a message and its reply on the wire, without the names in it.
pub const MESSAGE_OVERHEAD_BYTES: f64 = 450.0;
/// Bytes of a report, without the names in it.
const REPORT_OVERHEAD_BYTES: f64 = 24.0;
/// Time after which the evidence against a target without new reports is dropped.
const EVIDENCE_RETENTION: Duration = Duration::from_secs(60);

/// A daemon of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Member {
    /// Host of the daemon.
    pub host: Rc<str>,
    /// Data centre of the daemon.
    pub data_centre: Rc<str>,
}

/// A message to another daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingMessage {
    /// Host of the daemon.
    pub host: Rc<str>,
    /// Content.
    pub msg: SuspicionMessage,
}

/// Output of a round of the exchange.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RoundOutput {
    /// Messages to other daemons.
    pub outgoing: Vec<OutgoingMessage>,
    /// Names of targets that this daemon should put on trial.
    pub alarms: Vec<String>,
    /// Number of messages that exceeded the byte budget and were dropped.
    pub dropped: u32,
}

/// Collects the suspicions of this daemon, and aggregates those of all daemons for the services
/// that this daemon is a collector of.
pub struct SuspicionExchange {
    own: Member,
    threshold: f64,
    peers: Vec<Member>,
    pending: Vec<SuspicionReport>,
    alarms: Vec<String>,
    services: FxHashMap<String, FleetEvidence>,
    budget: ByteBudget,
}

impl SuspicionExchange {
    /// Creates the exchange of the daemon `own`, which raises alarms at `threshold` nats.
    pub fn new(own: Member, threshold: f64, now: BootTime) -> Self {
        Self {
            own,
            threshold,
            peers: Vec::new(),
            pending: Vec::new(),
            alarms: Vec::new(),
            services: FxHashMap::default(),
            budget: ByteBudget::new(BYTES_PER_S, BURST_BYTES, now),
        }
    }

    /// Replaces the list of the other daemons.
    pub fn set_peers(&mut self, peers: Vec<Member>) {
        self.peers = peers;
    }

    /// Adds a suspicion of this daemon, which is reported in the next round.
    pub fn add_suspicion(&mut self, suspicion: &Suspicion) {
        let same_target = |r: &&mut SuspicionReport| *r.target == *suspicion.target;
        if let Some(report) = self.pending.iter_mut().find(same_target) {
            report.nats += suspicion.nats as f32;
            return;
        }
        self.pending.push(SuspicionReport {
            service: suspicion.service.to_string(),
            target: suspicion.target.to_string(),
            nats: suspicion.nats as f32,
            siblings: suspicion.siblings,
            work_per_s: suspicion.work_per_s as f32,
        });
    }

    /// Adds a report of this daemon or of the peer on `host`. Reports of unknown hosts and with
    /// invalid numbers are ignored.
    pub fn add_report(&mut self, host: &str, report: &SuspicionReport, now: BootTime) {
        let peer = self.peers.iter().find(|m| *m.host == *host);
        let own = (*self.own.host == *host).then_some(&self.own);
        let Some(member) = own.or(peer) else {
            return;
        };
        let is_rate = report.work_per_s.is_finite() && report.work_per_s >= 0.0;
        let is_valid = report.nats.is_finite() && report.nats > 0.0 && is_rate;
        if !is_valid {
            return;
        }
        let daemons = self.peers.len() as f64 + 1.0;
        let threshold = self.threshold;
        let evidence = self
            .services
            .entry(report.service.clone())
            .or_insert_with(|| FleetEvidence::new(threshold));
        let report = EvidenceReport {
            target: &report.target,
            siblings: report.siblings,
            host: &member.host,
            data_centre: &member.data_centre,
            nats: f64::from(report.nats),
            expected_per_s: f64::from(report.work_per_s) * daemons,
        };
        if evidence.add_report(&report, now) {
            self.alarms.push(report.target.to_owned());
        }
    }

    /// Returns the messages and alarms that have accumulated since the last round, and drops old
    /// evidence.
    pub fn run_round(&mut self, now: BootTime) -> RoundOutput {
        let mut round = RoundOutput::default();
        self.send_reports(&mut round, now);
        self.send_alarms(&mut round, now);
        for evidence in self.services.values_mut() {
            evidence.remove_older(EVIDENCE_RETENTION, now);
        }
        self.services.retain(|_, e| !e.is_empty());
        round
    }

    fn send_reports(&mut self, round: &mut RoundOutput, now: BootTime) {
        let mut by_host: FxHashMap<Rc<str>, Vec<SuspicionReport>> = FxHashMap::default();
        for report in std::mem::take(&mut self.pending) {
            for host in self.collectors(&report.service) {
                by_host.entry(host).or_default().push(report.clone());
            }
        }
        for (host, reports) in by_host {
            if host == self.own.host {
                for report in &reports {
                    self.add_report(&host, report, now);
                }
                continue;
            }
            let names: usize = reports
                .iter()
                .map(|r| r.service.len() + r.target.len())
                .sum();
            let bytes = names as f64 + REPORT_OVERHEAD_BYTES * reports.len() as f64;
            self.send(host, SuspicionMessage::Reports(reports), bytes, round, now);
        }
    }

    fn send_alarms(&mut self, round: &mut RoundOutput, now: BootTime) {
        if self.alarms.is_empty() {
            return;
        }
        round.alarms = std::mem::take(&mut self.alarms);
        let bytes: usize = round.alarms.iter().map(String::len).sum();
        let hosts: Vec<Rc<str>> = self.peers.iter().map(|m| m.host.clone()).collect();
        for host in hosts {
            let msg = SuspicionMessage::Alarm(round.alarms.clone());
            self.send(host, msg, bytes as f64, round, now);
        }
    }

    fn send(
        &mut self,
        host: Rc<str>,
        msg: SuspicionMessage,
        bytes: f64,
        round: &mut RoundOutput,
        now: BootTime,
    ) {
        if self.budget.try_take(MESSAGE_OVERHEAD_BYTES + bytes, now) {
            round.outgoing.push(OutgoingMessage { host, msg });
        } else {
            round.dropped += 1;
        }
    }

    /// Returns the hosts of the collectors of a service, by rendezvous hashing.
    fn collectors(&self, service: &str) -> Vec<Rc<str>> {
        let mut all: Vec<&Member> = self.peers.iter().chain([&self.own]).collect();
        let score = |m: &Member| xxh3_64(format!("{service}\n{}", m.host).as_bytes());
        all.sort_by_cached_key(|m| Reverse(score(m)));
        all.iter()
            .take(COLLECTORS)
            .map(|m| m.host.clone())
            .collect()
    }
}
