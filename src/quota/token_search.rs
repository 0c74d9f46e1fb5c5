//! The search for one token among the holders of all slices.

use std::{collections::VecDeque, rc::Rc, time::Duration};

use crate::{
    clock::BootTime,
    limit::{Admission, Grant},
};

use super::local_slice::TakeOutcome;

/// Usual timeout for the response of a holder, after which the next one is asked; a host that has
/// used up its CPU quota is suspended for most of 100 ms.
pub const USUAL_TIMEOUT: Duration = Duration::from_millis(120);
/// Longest time for which a request waits for a holder; three uploads of 360 KB occupy a link of
/// 10 Mbit/s for 0.9 s.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Share of the time left until a request's deadline that may be spent on the search, which leaves
/// the rest for the target.
const SEARCH_SHARE: f64 = 0.5;

/// The holder of a data centre's slice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderAddress {
    /// Data centre of the slice.
    pub centre: String,
    /// Host that holds it.
    pub host: Rc<str>,
}

/// The holders that one search may ask, each list in the order in which they are asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SearchHolders {
    /// Holders that are not paused.
    pub available: Vec<HolderAddress>,
    /// Paused holders that did not respond in time, but may do so late. They are asked only if no
    /// available one responds.
    pub silent: Vec<HolderAddress>,
    /// Whether a response may arrive after [`USUAL_TIMEOUT`], so that waiting for it is useful.
    pub may_respond_late: bool,
}

/// The next step of a search.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchStep {
    /// Ask this holder.
    Ask(HolderAddress),
    /// Wait for a response until this time.
    Wait(BootTime),
    /// The search has ended.
    Done(Admission),
}

/// Decides which holders are asked for one token, and how long their responses are awaited.
///
/// The holders are asked one after the other, the next one if the last one has not responded within
/// [`USUAL_TIMEOUT`]. Calls go on meanwhile, so that a late response counts until the search ends.
/// The search goes on beyond these timeouts only if no holder has responded.
#[derive(Debug)]
pub struct TokenSearch {
    untried: VecDeque<HolderAddress>,
    silent: Vec<HolderAddress>,
    /// Data centre asked last and the end of its usual timeout, until it responds.
    in_turn: Option<(String, BootTime)>,
    unanswered: usize,
    shortest_wait: Option<Duration>,
    granted: bool,
    end: BootTime,
    extended: bool,
}

impl TokenSearch {
    /// Starts the search for a request that must be answered by `deadline`.
    pub fn new(holders: SearchHolders, deadline: BootTime, now: BootTime) -> Self {
        let limit = deadline.since(now).mul_f64(SEARCH_SHARE).min(MAX_WAIT);
        Self {
            untried: holders.available.into(),
            silent: holders.silent,
            in_turn: None,
            unanswered: 0,
            shortest_wait: None,
            granted: false,
            end: if holders.may_respond_late {
                now + limit
            } else {
                now
            },
            extended: false,
        }
    }

    /// Returns the time for which a call that begins now waits for the response.
    pub fn call_timeout(&self, now: BootTime) -> Duration {
        self.end.since(now).max(USUAL_TIMEOUT)
    }

    /// Returns whether the search has gone on beyond the usual timeouts.
    pub fn is_extended(&self) -> bool {
        self.extended
    }

    /// Records the outcome of asking the holder of a data centre's slice.
    pub fn record(&mut self, centre: &str, outcome: TakeOutcome) {
        self.unanswered = self.unanswered.saturating_sub(1);
        if self.in_turn.as_ref().is_some_and(|(c, _)| c == centre) {
            self.in_turn = None;
        }
        match outcome {
            TakeOutcome::Granted => self.granted = true,
            TakeOutcome::Exceeded(wait) => {
                self.shortest_wait = Some(self.shortest_wait.map_or(wait, |s| s.min(wait)));
            }
            TakeOutcome::NotHolder => {}
        }
    }

    /// Returns the next step.
    pub fn next(&mut self, now: BootTime) -> SearchStep {
        if self.granted {
            return SearchStep::Done(Admission::Granted(Grant::NON_EXPIRING));
        }
        if let Some((_, until)) = &self.in_turn {
            if now < *until {
                return SearchStep::Wait(*until);
            }
        }
        if self.untried.is_empty() && self.shortest_wait.is_none() && now < self.end {
            self.extended |= self.unanswered > 0 || !self.silent.is_empty();
            self.untried.extend(std::mem::take(&mut self.silent));
        }
        if let Some(holder) = self.untried.pop_front() {
            self.in_turn = Some((holder.centre.clone(), now + USUAL_TIMEOUT));
            self.unanswered += 1;
            return SearchStep::Ask(holder);
        }
        if let Some(wait) = self.shortest_wait {
            return SearchStep::Done(Admission::Exceeded(wait));
        }
        if self.unanswered > 0 && now < self.end {
            return SearchStep::Wait(self.end);
        }
        SearchStep::Done(Admission::Unavailable)
    }
}
