//! Task that exchanges suspicions with other daemons.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;
use rustc_hash::FxHashMap;

use crate::{
    clock::Clock,
    metrics::{Counter, Metrics},
    peer::{decode, encode, MessageKind, PeerClient, PeerHandler},
    store::BoxFuture,
};

use super::{
    BalancerHandle, BalancerMessage, Member, OutgoingMessage, Suspicion, SuspicionExchange,
    SuspicionMessage,
};

/// Time between two rounds of the exchange.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of messages in flight to one daemon.
const MAX_IN_FLIGHT: u32 = 4;

/// Event for the suspicion task.
pub enum SuspicionEvent {
    /// This daemon observed bad requests.
    Local(Suspicion),
    /// The daemon on the given host sent a message.
    Received(String, SuspicionMessage),
    /// A message to the daemon on the given host was answered or failed.
    Sent(Rc<str>),
}

/// Forwards messages of kind `suspicion` from peers to the suspicion task.
pub struct SuspicionHandler {
    /// Sender of events to the task.
    pub tx: mpsc::unbounded::Tx<SuspicionEvent>,
}

impl PeerHandler for SuspicionHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let msg: SuspicionMessage = decode(body)?;
            let _ = self.tx.send(SuspicionEvent::Received(from.to_owned(), msg));
            encode(&())
        })
    }
}

/// State of the task that exchanges suspicions with other daemons.
pub struct SuspicionTask {
    /// Decides which messages to send to which daemons.
    pub exchange: SuspicionExchange,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Balancer that puts targets on trial after an alarm.
    pub balancer: BalancerHandle,
    /// Counters of sent and dropped messages.
    pub metrics: Rc<Metrics>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// Sender of events to this task.
    pub tx: mpsc::unbounded::Tx<SuspicionEvent>,
    /// Number of messages in flight to each host.
    pub in_flight: FxHashMap<Rc<str>, u32>,
}

impl SuspicionTask {
    /// Exchanges suspicions until the task is dropped.
    pub async fn run(mut self, mut rx: mpsc::unbounded::Rx<SuspicionEvent>) {
        loop {
            monoio::time::sleep(ROUND_INTERVAL).await;
            self.update_peers();
            while let Ok(event) = rx.try_recv() {
                self.handle_event(event);
            }
            self.run_round();
        }
    }

    fn update_peers(&mut self) {
        let peers = self.peers.directory().peers();
        let members = peers.iter().filter(|p| !p.leaving).map(|p| Member {
            host: p.host.clone(),
            data_centre: p.data_centre.clone(),
        });
        self.exchange.set_peers(members.collect());
    }

    fn handle_event(&mut self, event: SuspicionEvent) {
        match event {
            SuspicionEvent::Local(suspicion) => self.exchange.add_suspicion(&suspicion),
            SuspicionEvent::Received(from, SuspicionMessage::Reports(reports)) => {
                let now = self.clock.now();
                for report in &reports {
                    self.exchange.add_report(&from, report, now);
                }
            }
            SuspicionEvent::Received(_, SuspicionMessage::Alarm(names)) => {
                self.send_fleet_alarms(names)
            }
            SuspicionEvent::Sent(host) => {
                if let Some(count) = self.in_flight.get_mut(&host) {
                    *count = count.saturating_sub(1);
                }
            }
        }
    }

    fn send_fleet_alarms(&self, names: Vec<String>) {
        for name in names {
            self.balancer.send(BalancerMessage::FleetAlarm(name));
        }
    }

    fn run_round(&mut self) {
        let round = self.exchange.run_round(self.clock.now());
        self.send_fleet_alarms(round.alarms);
        for _ in 0..round.dropped {
            self.metrics.count(Counter::SuspicionsDropped);
        }
        for outgoing in round.outgoing {
            self.send(outgoing);
        }
    }

    fn send(&mut self, outgoing: OutgoingMessage) {
        let in_flight = self.in_flight.entry(outgoing.host.clone()).or_default();
        if *in_flight >= MAX_IN_FLIGHT {
            self.metrics.count(Counter::SuspicionsDropped);
            return;
        }
        *in_flight += 1;
        self.metrics.count(Counter::SuspicionsSent);
        let (peers, tx) = (self.peers.clone(), self.tx.clone());
        monoio::spawn(async move {
            let OutgoingMessage { host, msg } = outgoing;
            let sent = peers.call::<_, ()>(&host, MessageKind::Suspicion, &msg, MESSAGE_TIMEOUT);
            if let Err(e) = sent.await {
                log::debug!("could not send suspicion message to {host}: {e:?}");
            }
            let _ = tx.send(SuspicionEvent::Sent(host));
        });
    }
}
