//! The border between requests and whoever counts rates.

use std::rc::Rc;

use local_sync::{mpsc, oneshot};

use crate::{catalog::Plan, store::BoxFuture};

use super::Admission;

/// Decides whether a request is inside its workspace's rate and burst.
pub trait Limiter {
    /// Asks for one request of `workspace`, whose plan is `plan`.
    fn admit<'a>(&'a self, workspace: &'a Rc<str>, plan: &'a Plan) -> BoxFuture<'a, Admission>;
}

/// A message to the task that counts rates.
pub enum LimiterMessage {
    /// Asks for one request.
    Admit {
        /// The workspace.
        workspace: Rc<str>,
        /// Its plan as of the revision in force.
        plan: Plan,
        /// Takes the answer.
        reply: oneshot::Sender<Admission>,
    },
    /// Tells how many daemons are live.
    SetDaemonCount(usize),
}

/// A limiter that asks a task of this daemon.
pub struct TaskLimiter {
    tx: mpsc::unbounded::Tx<LimiterMessage>,
}

impl TaskLimiter {
    /// Makes a limiter that asks the receiver of `tx`.
    pub fn new(tx: mpsc::unbounded::Tx<LimiterMessage>) -> Self {
        Self { tx }
    }
}

impl Limiter for TaskLimiter {
    fn admit<'a>(&'a self, workspace: &'a Rc<str>, plan: &'a Plan) -> BoxFuture<'a, Admission> {
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
