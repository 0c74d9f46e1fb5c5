//! The task that owns the catalog.

use std::{rc::Rc, time::Duration};

use local_sync::{mpsc, oneshot};

use crate::{
    metrics::{Counter, Metrics},
    platform::{PlatformError, Table},
};

use super::{
    commit::commit_edit,
    load::{load_catalog, read_edits, read_head},
    CatalogView, EditAnswer, EditRequest,
};

/// Time between two reads of the newest revision.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// A message to the sync task.
pub enum SyncMessage {
    /// Asks for an edit.
    Edit(EditRequest, oneshot::Sender<EditAnswer>),
}

/// State of the sync task.
pub struct SyncTask {
    /// The table service.
    pub table: Rc<dyn Table>,
    /// The catalog that all tasks read.
    pub view: CatalogView,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// Keeps the catalog at the newest revision and commits edits, until all senders are gone.
pub async fn sync_task(cx: SyncTask, mut rx: mpsc::unbounded::Rx<SyncMessage>) {
    loop {
        if let Err(e) = cx.catch_up().await {
            cx.metrics.count(Counter::PlatformErrors);
            log::warn!("table service: {e}");
        }
        monoio::select! {
            () = monoio::time::sleep(POLL_INTERVAL) => {}
            msg = rx.recv() => match msg {
                Some(SyncMessage::Edit(req, reply)) => cx.start_edit(req, reply),
                None => return,
            }
        }
    }
}

impl SyncTask {
    async fn catch_up(&self) -> Result<(), PlatformError> {
        if !self.view.is_ready() {
            let catalog = load_catalog(self.table.as_ref()).await?;
            self.view.update(|c| *c = catalog);
            return Ok(());
        }
        let head = read_head(self.table.as_ref()).await?;
        while self.view.get().revision() < head {
            let held = self.view.get().revision();
            let edits = read_edits(self.table.as_ref(), held, head).await?;
            if edits.is_empty() {
                return Err(PlatformError::BadAnswer);
            }
            for edit in &edits {
                self.view.update(|c| c.apply(edit));
                self.metrics.count(Counter::EditsApplied);
            }
        }
        Ok(())
    }

    /// Commits an edit beside the polling, and leaves its adoption to the next poll.
    fn start_edit(&self, req: EditRequest, reply: oneshot::Sender<EditAnswer>) {
        let table = self.table.clone();
        monoio::spawn(async move {
            let answer = commit_edit(table.as_ref(), &req).await;
            let _ = reply.send(answer);
        });
    }
}
