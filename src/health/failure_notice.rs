//! Failure notices, which are broadcast to all daemons when a target aborts requests.

use std::{cell::RefCell, rc::Rc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    peer::{decode, encode, FleetBroadcast, MessageKind, PeerHandler},
    store::BoxFuture,
};

use super::{BalancerHandle, BalancerMessage, LimitNews, PendingNotice};

/// Delay before a notice is sent, so that further failures are batched into it.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Targets that aborted requests, targets that have recovered since, and what targets said of
/// themselves.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FailureNotice {
    /// Names of targets that aborted requests.
    pub failed: Vec<String>,
    /// Names of targets that have recovered.
    pub recovered: Vec<String>,
    /// Whether the receiver relays the notice to the other daemons of its data centre.
    pub relay: bool,
    /// What targets said of themselves; left out if there is nothing, as earlier builds do.
    #[serde(default, skip_serializing_if = "TargetNews::is_empty")]
    pub news: TargetNews,
}

/// What targets said of themselves in their responses.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetNews {
    /// Limits that targets named or lifted.
    pub limits: Vec<LimitNotice>,
    /// Targets that leave for good.
    pub leaving: Vec<LeavingNotice>,
}

impl TargetNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.leaving.is_empty()
    }
}

/// A target that leaves for good.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingNotice {
    /// Name of the target.
    pub target: String,
    /// Start of the target, which tells its incarnations apart, if known.
    pub born: Option<u64>,
}

/// The limit that a target names on the requests of the whole fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// Name of the target.
    pub target: String,
    /// Requests per second; `None` if the target names no limit any more.
    pub limit_per_s: Option<f64>,
}

impl LimitNotice {
    /// Returns the news in the notice; `None` if its limit is not a positive number.
    pub fn news(&self) -> Option<LimitNews> {
        match self.limit_per_s {
            None => Some(LimitNews::Lifted),
            Some(limit) if limit.is_finite() && limit > 0.0 => Some(LimitNews::Named(limit)),
            Some(_) => None,
        }
    }
}

/// Batches the failures that this daemon observes, and broadcasts them to the fleet.
#[derive(Clone)]
pub struct FailureNotifier {
    broadcast: FleetBroadcast,
    pending: Rc<RefCell<Pending>>,
}

#[derive(Default)]
struct Pending {
    notice: PendingNotice,
    is_scheduled: bool,
}

impl FailureNotifier {
    /// Creates a notifier that uses `broadcast`.
    pub fn new(broadcast: FleetBroadcast) -> Self {
        Self {
            broadcast,
            pending: Rc::default(),
        }
    }

    /// Adds `target` to the next notice as failed.
    pub fn notify_failed(&self, target: &str) {
        self.add(|notice| notice.add_failed(target));
    }

    /// Adds `target` to the next notice as recovered.
    pub fn notify_recovered(&self, target: &str) {
        self.add(|notice| notice.add_recovered(target));
    }

    /// Adds what `target` named or lifted to the next notice.
    pub fn notify_limit(&self, target: &str, news: LimitNews) {
        self.add(|notice| notice.add_limit(target, news));
    }

    /// Adds `target` to the next notice as leaving for good.
    pub fn notify_leaving(&self, target: &str, born: Option<u64>) {
        self.add(|notice| notice.add_leaving(target, born));
    }

    fn add(&self, change: impl FnOnce(&mut PendingNotice)) {
        let mut pending = self.pending.borrow_mut();
        change(&mut pending.notice);
        self.schedule(&mut pending);
    }

    fn schedule(&self, pending: &mut Pending) {
        if std::mem::replace(&mut pending.is_scheduled, true) {
            return;
        }
        let notifier = self.clone();
        monoio::spawn(async move {
            monoio::time::sleep(BATCH_DELAY).await;
            let PendingNotice {
                failed,
                recovered,
                news,
            } = notifier.pending.take().notice;
            let notice = |relay| FailureNotice {
                failed: failed.clone(),
                recovered: recovered.clone(),
                relay,
                news: news.clone(),
            };
            let kind = MessageKind::Failure;
            let (own, other) = (notice(false), notice(true));
            notifier
                .broadcast
                .broadcast_to_fleet(kind, &own, &other)
                .await;
        });
    }
}

/// Handles the notices of other daemons, and relays them if requested.
pub struct FailureHandler {
    /// Balancer whose breakers the notices open and close.
    pub balancer: BalancerHandle,
    /// Broadcast for relays within the data centre of this host.
    pub broadcast: FleetBroadcast,
}

impl PeerHandler for FailureHandler {
    fn handle<'a>(&'a self, from: &'a str, body: &'a [u8]) -> BoxFuture<'a, Option<Vec<u8>>> {
        Box::pin(async move {
            let mut notice: FailureNotice = decode(body)?;
            let recovered = BalancerMessage::PeerReportedRecovered(notice.recovered.clone());
            self.balancer.send(recovered);
            let failed = BalancerMessage::PeerReportedFailed(notice.failed.clone());
            self.balancer.send(failed);
            for leaving in &notice.news.leaving {
                let leaving = leaving.clone();
                self.balancer
                    .send(BalancerMessage::PeerReportedLeaving(leaving));
            }
            for limit in &notice.news.limits {
                match limit.news() {
                    Some(news) => self.balancer.send(BalancerMessage::PeerReportedLimit {
                        target: limit.target.clone(),
                        news,
                    }),
                    None => log::warn!(target_name = limit.target.as_str(), from = from;
                        "unusable limit in a notice"),
                }
            }
            if notice.relay {
                notice.relay = false;
                let broadcast = self.broadcast.clone();
                let kind = MessageKind::Failure;
                monoio::spawn(async move {
                    broadcast.broadcast_to_data_centre(kind, &notice).await;
                });
            }
            encode(&())
        })
    }
}
