//! The baseline: each of N daemons enforces its Nth part of every plan.

use std::rc::Rc;

use local_sync::mpsc;
use rustc_hash::FxHashMap;

use crate::{
    catalog::Plan,
    clock::{BootTime, Clock},
};

use super::{Admission, Grant, LimiterMessage, TokenBucket};

/// Buckets that each hold an Nth part of a plan.
pub struct StaticSplit {
    daemons: usize,
    buckets: FxHashMap<Rc<str>, TokenBucket>,
}

impl StaticSplit {
    /// Makes buckets for a fleet of `daemons`.
    pub fn new(daemons: usize) -> Self {
        Self {
            daemons: daemons.max(1),
            buckets: FxHashMap::default(),
        }
    }

    /// Changes the count of daemons.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Decides on one request.
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

/// Owns the buckets and answers messages until all senders are gone.
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
