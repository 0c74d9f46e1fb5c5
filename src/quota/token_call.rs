//! One call that requests a token from the holder of a slice.

use std::{rc::Rc, time::Duration};

use local_sync::mpsc;
use monoio::time::sleep;

use crate::{
    clock::{BootTime, Clock},
    metrics::{Counter, Latency, Metrics},
    peer::{MessageKind, PeerClient, PeerError},
};

use super::{
    HolderAddress, LocalSlice, SliceHolders, TakeOutcome, TokenRequest, TokenResponse,
    USUAL_TIMEOUT,
};

/// Largest number of times that a request follows a slice that was handed over.
const MAX_MOVES: usize = 2;

/// The outcome of asking the holder of a data centre's slice.
pub(super) struct Answer {
    /// Data centre of the slice.
    pub(super) centre: String,
    /// The outcome; [`TakeOutcome::NotHolder`] if there was no response.
    pub(super) taken: TakeOutcome,
}

/// Requests one token from a holder, and records whether it responds.
pub(super) struct TokenCall {
    pub(super) slice: LocalSlice,
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
    pub(super) async fn run(mut self, limit: Duration, answers: mpsc::unbounded::Tx<Answer>) {
        let sent = self.clock.now();
        let (host, response, is_late) = {
            let mut call = std::pin::pin!(self.request_following_moves(limit));
            monoio::select! {
                (host, response) = &mut call => (host, response, false),
                () = sleep(USUAL_TIMEOUT) => {
                    self.record_silence();
                    let (host, response) = call.await;
                    (host, response, true)
                }
            }
        };
        self.holder.host = host;
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

    /// Requests the token, also from the host that a holder names as its successor, and returns the
    /// host that was asked last with its response.
    async fn request_following_moves(
        &self,
        limit: Duration,
    ) -> (Rc<str>, Result<TokenResponse, PeerError>) {
        let mut host = self.holder.host.clone();
        if *host == *self.peers.directory().own_host() {
            // This daemon is leaving and hands the slice over.
            if let Some(change) = self.slice.new_holder().await {
                host = Rc::from(change.host);
            }
        }
        let mut moves = 0;
        loop {
            let response = self.request(&host, limit).await;
            match response {
                Ok(TokenResponse::Moved(change)) if moves < MAX_MOVES => {
                    moves += 1;
                    self.holders.announce(&change, self.clock.now());
                    host = Rc::from(change.host);
                }
                response => return (host, response),
            }
        }
    }

    async fn request(&self, host: &str, limit: Duration) -> Result<TokenResponse, PeerError> {
        self.metrics.count(Counter::Asks);
        let req = TokenRequest {
            workspace: self.workspace.to_string(),
        };
        // A token that was granted before the connection failed is lost.
        let (peers, kind) = (&self.peers, MessageKind::Ask);
        peers.call_repeatable(host, kind, &req, limit).await
    }

    fn record_silence(&self) {
        self.count_unanswered(PeerError::NoAnswer);
        self.holders
            .record_silent(&self.holder.centre, &self.holder.host, self.clock.now());
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
        let (centre, host) = (self.holder.centre.as_str(), &*self.holder.host);
        match response {
            Ok(TokenResponse::Granted) => {
                self.holders.record_available(centre, host, now);
                TakeOutcome::Granted
            }
            Ok(TokenResponse::Exceeded(wait)) => {
                self.holders.record_available(centre, host, now);
                TakeOutcome::Exceeded(wait)
            }
            Ok(TokenResponse::NotHolder | TokenResponse::Moved(_)) => {
                self.holders.record_unavailable(centre, host, now);
                TakeOutcome::NotHolder
            }
            Err(reason) => {
                if !is_late && now.since(sent) < USUAL_TIMEOUT {
                    self.count_unanswered(reason);
                    self.holders.record_unavailable(centre, host, now);
                } else if !is_late {
                    self.record_silence();
                }
                TakeOutcome::NotHolder
            }
        }
    }
}
