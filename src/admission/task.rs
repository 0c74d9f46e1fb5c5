//! The exchange of sums between the readers of the data centres.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use monoio::time::sleep;

use crate::{
    clock::Clock,
    follow::ReaderSelector,
    peer::{MessageKind, PeerClient},
};

use super::{AdmissionHandle, AdmissionMessage, AdmissionReply, CentreReport, LevelMessage};

/// Time between two exchanges. With four data centres a reader sends and answers six messages in
/// it, and its daemons see loads of other data centres half an interval late on average.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks whether levels are pushed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of one message.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(250);

/// Dependencies of an [`AdmissionTask`].
pub struct AdmissionTaskParts {
    /// The admission state of this daemon.
    pub admission: AdmissionHandle,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
}

/// Exchanges sums with the readers of the other data centres while daemons report to this one, and
/// puts the levels of a reader into force at the reader itself.
pub struct AdmissionTask {
    parts: AdmissionTaskParts,
    selector: ReaderSelector,
}

impl AdmissionTask {
    /// Creates the task.
    pub fn new(parts: AdmissionTaskParts) -> Self {
        Self {
            parts,
            selector: ReaderSelector::default(),
        }
    }

    /// Runs until the daemon exits.
    pub async fn run(mut self) {
        let mut exchanged = self.parts.clock.now();
        loop {
            sleep(CHECK_INTERVAL).await;
            if let Some(levels) = self.parts.admission.levels_to_push() {
                self.push(levels);
            }
            let now = self.parts.clock.now();
            if now.since(exchanged) >= EXCHANGE_INTERVAL {
                exchanged = now;
                self.step().await;
            }
        }
    }

    /// Sends levels to the other daemons of the data centre, and records the loads that they
    /// respond with.
    fn push(&self, levels: LevelMessage) {
        self.parts.admission.apply_levels(&levels);
        let peers = self.parts.peers.directory().peers();
        let local = peers
            .iter()
            .filter(|p| *p.data_centre == *self.parts.data_centre && !p.leaving);
        let msg = Rc::new(AdmissionMessage::Levels(levels));
        for host in local.map(|p| p.host.clone()) {
            let (peers, admission) = (self.parts.peers.clone(), self.parts.admission.clone());
            let msg = msg.clone();
            monoio::spawn(async move {
                let kind = MessageKind::Admission;
                let reply = peers.call(&host, kind, &*msg, EXCHANGE_TIMEOUT).await;
                if let Ok(AdmissionReply::Load(report)) = reply {
                    admission.record_daemon(&host, report);
                }
            });
        }
    }

    async fn step(&mut self) {
        let Some(sums) = self.parts.admission.centre_sums() else {
            return;
        };
        let report = CentreReport {
            data_centre: self.parts.data_centre.clone(),
            sums,
        };
        for reader in self.other_readers() {
            self.exchange(&reader, &report).await;
        }
        let levels = self.parts.admission.levels();
        self.parts.admission.apply_levels(&levels);
    }

    /// Returns the first reader of each other data centre.
    fn other_readers(&self) -> Vec<Rc<str>> {
        let peers = self.parts.peers.directory().peers();
        let centres = peers.iter().map(|p| p.data_centre.clone());
        let mut centres: BTreeSet<Rc<str>> = centres.collect();
        centres.remove(self.parts.data_centre.as_str());
        let reader = |centre: Rc<str>| {
            let local = peers
                .iter()
                .filter(|p| p.data_centre == centre && !p.leaving);
            let hosts: Vec<Rc<str>> = local.map(|p| p.host.clone()).collect();
            let readers = self.selector.select(&hosts, self.parts.clock.now());
            readers.into_iter().next()
        };
        centres.into_iter().filter_map(reader).collect()
    }

    async fn exchange(&mut self, reader: &Rc<str>, report: &CentreReport) {
        let (peers, kind) = (&self.parts.peers, MessageKind::Admission);
        let msg = AdmissionMessage::Sums(report.clone());
        match peers.call(reader, kind, &msg, EXCHANGE_TIMEOUT).await {
            Ok(AdmissionReply::Load(_)) => {}
            Ok(AdmissionReply::Sums(res)) => {
                let admission = &self.parts.admission;
                admission.record_centre(&res.data_centre, res.sums);
            }
            Err(e) => {
                log::info!(reader = &**reader, reason:? = e; "reader did not exchange load");
                let now = self.parts.clock.now();
                self.selector.mark_unresponsive(reader, now);
            }
        }
    }
}
