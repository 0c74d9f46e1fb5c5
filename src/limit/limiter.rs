//! The interface between the proxy and the rate limiters.

use std::rc::Rc;

use local_sync::{mpsc, oneshot};

use crate::{catalog::Plan, clock::BootTime, store::BoxFuture};

use super::Admission;

/// Decides whether a request is within its workspace's rate and burst.
pub trait Limiter {
    /// Requests admission of one request of `workspace`, whose plan is `plan`, and which must be
    /// answered by `deadline`.
    fn admit<'a>(
        &'a self,
        workspace: &'a Rc<str>,
        plan: &'a Plan,
        deadline: BootTime,
    ) -> BoxFuture<'a, Admission>;
}

/// A message to the task that enforces rates.
pub enum LimiterMessage {
    /// Requests admission of one request.
    Admit {
        /// The workspace.
        workspace: Rc<str>,
        /// Its plan in the current revision of the configuration.
        plan: Plan,
        /// Channel for the decision.
        reply: oneshot::Sender<Admission>,
    },
    /// Sets the number of live daemons.
    SetDaemonCount(usize),
}

/// A limiter that forwards requests for admission to a task of this daemon.
pub struct TaskLimiter {
    tx: mpsc::unbounded::Tx<LimiterMessage>,
}

impl TaskLimiter {
    /// Creates a limiter that sends its requests to the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<LimiterMessage>) -> Self {
        Self { tx }
    }
}

impl Limiter for TaskLimiter {
    fn admit<'a>(
        &'a self,
        workspace: &'a Rc<str>,
        plan: &'a Plan,
        _: BootTime,
    ) -> BoxFuture<'a, Admission> {
        let (reply, rx) = oneshot::channel();
        let msg = LimiterMessage::Admit {
            workspace: workspace.clone(),
            plan: plan.clone(),
            reply,
        };
        let sent = self.tx.send(msg).is_ok();
        Box::pin(async move {
            if !sent {
                return Admission::Unavailable;
            }
            rx.await.unwrap_or(Admission::Unavailable)
        })
    }
}
