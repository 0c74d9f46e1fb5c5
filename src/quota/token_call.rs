//! One call that requests a token from the holder of a slice.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Latency, Metrics},
    peer::{MessageKind, PeerClient, PeerError},
};

use super::{HolderAddress, SliceHolders, TakeOutcome, TokenRequest, TokenResponse, USUAL_TIMEOUT};

/// The outcome of asking the holder of a data centre's slice.
pub(super) struct Answer {
    /// Data centre of the slice.
    pub(super) centre: String,
    /// The outcome; [`TakeOutcome::NotHolder`] if there was no response.
    pub(super) taken: TakeOutcome,
}

/// Requests one token from a holder, and records whether it responds.
pub(super) struct TokenCall {
    pub(super) holders: SliceHolders,
    pub(super) peers: PeerClient,
    pub(super) clock: Rc<dyn Clock>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) workspace: Rc<str>,
    pub(super) holder: HolderAddress,
}

impl TokenCall {
    /// Runs the call and sends its outcome to `answers`. The holder is paused after
    /// [`USUAL_TIMEOUT`], but a response that arrives within `limit` still counts.
    pub(super) async fn run(self, limit: Duration, answers: mpsc::unbounded::Tx<Answer>) {
        self.metrics.count(Counter::Asks);
        let sent = self.clock.now();
        let req = TokenRequest {
            workspace: self.workspace.to_string(),
        };
        let host = &*self.holder.host;
        let call = self.peers.call(host, MessageKind::Ask, &req, limit);
        let mut call = std::pin::pin!(call);
        let (response, is_late) = monoio::select! {
            response = &mut call => (response, false),
            () = sleep(USUAL_TIMEOUT) => {
                self.record_silence();
                (call.await, true)
            }
        };
        let latency = self.clock.now().since(sent);
        self.metrics.record_latency(Latency::AskLatencyS, latency);
        let taken = self.record_response(response, is_late, sent);
        let answer = Answer {
            centre: self.holder.centre,
            taken,
        };
        if answers.send(answer).is_err() && taken == TakeOutcome::Granted {
            self.metrics.count(Counter::TokensUnused);
        }
    }

    fn record_silence(&self) {
        self.count_unanswered(PeerError::NoAnswer);
        self.holders
            .record_silent(&self.holder.centre, self.clock.now());
    }

    fn count_unanswered(&self, reason: PeerError) {
        self.metrics.count(Counter::AsksUnanswered);
        let centre = self.holder.centre.as_str();
        log::info!(holder = &*self.holder.host, data_centre = centre, reason:? = reason;
            "slice holder did not respond");
    }

    fn record_response(
        &self,
        response: Result<TokenResponse, PeerError>,
        is_late: bool,
        sent: BootTime,
    ) -> TakeOutcome {
        let now = self.clock.now();
        let centre = self.holder.centre.as_str();
        match response {
            Ok(TokenResponse::Granted) => {
                self.holders.record_available(centre, now);
                TakeOutcome::Granted
            }
            Ok(TokenResponse::Exceeded(wait)) => {
                self.holders.record_available(centre, now);
                TakeOutcome::Exceeded(wait)
            }
            Ok(TokenResponse::NotHolder) => {
                self.holders.record_unavailable(centre, now);
                TakeOutcome::NotHolder
            }
            Err(reason) => {
                if !is_late && now.since(sent) < USUAL_TIMEOUT {
                    self.count_unanswered(reason);
                    self.holders.record_unavailable(centre, now);
                } else if !is_late {
                    self.record_silence();
                }
                TakeOutcome::NotHolder
            }
        }
    }
}
