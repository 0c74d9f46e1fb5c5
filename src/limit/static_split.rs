//! The baseline limiter: each of N daemons enforces 1/N of every plan.

use std::rc::Rc;

use local_sync::mpsc;
use rustc_hash::FxHashMap;

use crate::{
    catalog::Plan,
    clock::{BootTime, Clock},
};

use super::{Admission, Grant, LimiterMessage, TokenBucket};

/// Token buckets that each enforce 1/N of a plan, for N daemons.
pub struct StaticSplit {
    daemons: usize,
    buckets: FxHashMap<Rc<str>, TokenBucket>,
}

impl StaticSplit {
    /// Creates buckets for a fleet of `daemons`.
    pub fn new(daemons: usize) -> Self {
        Self {
            daemons: daemons.max(1),
            buckets: FxHashMap::default(),
        }
    }

    /// Sets the number of daemons.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Decides whether one request of `workspace` is admitted.
    pub fn admit(&mut self, workspace: &Rc<str>, plan: &Plan, now: BootTime) -> Admission {
        let n = self.daemons as f64;
        let rate = plan.rate_per_s / n;
        let burst = f64::from(plan.burst) / n;
        let bucket = self
            .buckets
            .entry(workspace.clone())
            .or_insert_with(|| TokenBucket::new(rate, burst, burst, now));
        bucket.set_limits(rate, burst, now);
        match bucket.take(now) {
            Ok(()) => Admission::Granted(Grant::NON_EXPIRING),
            Err(wait) => Admission::Exceeded(wait),
        }
    }
}

/// Owns the buckets and answers messages until all senders are dropped.
pub async fn static_split_task(mut rx: mpsc::unbounded::Rx<LimiterMessage>, clock: Rc<dyn Clock>) {
    let mut split = StaticSplit::new(1);
    while let Some(msg) = rx.recv().await {
        match msg {
            LimiterMessage::Admit {
                workspace,
                plan,
                reply,
            } => {
                let admission = split.admit(&workspace, &plan, clock.now());
                let _ = reply.send(admission);
            }
            LimiterMessage::SetDaemonCount(n) => split.set_daemons(n),
        }
    }
}
