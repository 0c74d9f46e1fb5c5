//! The limiter that takes tokens from the owners of slices.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    catalog::Plan,
    clock::{BootTime, Clock},
    lease::{partition_of, preferred_host, Candidate, SliceId},
    metrics::{Counter, Metrics},
    peer::{MessageKind, Peer, PeerClient},
    store::BoxFuture,
};

use super::{
    Admission, Grant, Limiter, NegativeCache, OwnershipHandle, PlanSplit, TakeOutcome,
    TokenRequest, TokenResponse,
};

/// Takes tokens from slices that this daemon owns, or requests them from the owners of other
/// slices of the workspace.
pub struct DistributedLimiter {
    /// The slices that this daemon owns, and the owners of the others.
    pub ownership: OwnershipHandle,
    /// Client for calls to other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// Recent failures to get a token.
    pub negative_cache: RefCell<NegativeCache>,
    /// Clock.
    pub clock: Rc<dyn Clock>,
    /// Metrics of this daemon.
    pub metrics: Rc<Metrics>,
}

/// Where tokens of a slice are available.
enum Location {
    Local,
    Peer(Peer),
    Unknown,
}

/// The shortest wait among the refusals of one admission.
#[derive(Default)]
struct ShortestWait {
    wait: Option<Duration>,
}

impl ShortestWait {
    fn record(&mut self, wait: Duration) {
        self.wait = Some(self.wait.map_or(wait, |w| w.min(wait)));
    }
}

impl Limiter for DistributedLimiter {
    fn admit<'a>(
        &'a self,
        workspace: &'a Rc<str>,
        plan: &'a Plan,
        _: BootTime,
    ) -> BoxFuture<'a, Admission> {
        Box::pin(self.admit_one(workspace, plan))
    }
}

impl DistributedLimiter {
    async fn admit_one(&self, workspace: &Rc<str>, plan: &Plan) -> Admission {
        if plan.burst == 0 {
            return Admission::Exceeded(Duration::MAX);
        }
        let split = PlanSplit::new(plan);
        let mut shortest = ShortestWait::default();
        for (slice, location) in self.locations(workspace, &split) {
            let now = self.clock.now();
            let cached_wait =
                self.negative_cache
                    .borrow()
                    .remaining_wait(workspace, slice.index, now);
            if let Some(wait) = cached_wait {
                shortest.record(wait);
                continue;
            }
            let taken = match location {
                Location::Local => self.ownership.with(|o| o.take(slice, workspace, plan, now)),
                Location::Peer(peer) => {
                    self.request_token(&peer, workspace, slice, split.lifetime())
                        .await
                }
                Location::Unknown => TakeOutcome::NotOwner,
            };
            match taken {
                TakeOutcome::Granted(grant) => return Admission::Granted(grant),
                TakeOutcome::Exceeded(wait) => {
                    let now = self.clock.now();
                    let mut negative_cache = self.negative_cache.borrow_mut();
                    negative_cache.record_refusal(workspace, slice.index, wait, now);
                    shortest.record(wait);
                }
                TakeOutcome::NotOwner => self.ownership.request_refresh(),
            }
        }
        match shortest.wait {
            Some(wait) => Admission::Exceeded(wait),
            None => Admission::Unavailable,
        }
    }

    /// Returns the slices of a workspace with their locations, the nearest first.
    fn locations(&self, workspace: &Rc<str>, split: &PlanSplit) -> Vec<(SliceId, Location)> {
        let partition = partition_of(workspace);
        let slices = (0..split.slice_count()).map(|index| SliceId { partition, index });
        let mut locations: Vec<(u8, u32, SliceId, Location)> = slices
            .map(|slice| {
                let location = self.location(slice);
                (self.distance(&location), fastrand::u32(..), slice, location)
            })
            .collect();
        locations.sort_by_key(|(distance, random, ..)| (*distance, *random));
        locations
            .into_iter()
            .map(|(_, _, slice, location)| (slice, location))
            .collect()
    }

    fn distance(&self, location: &Location) -> u8 {
        match location {
            Location::Local => 0,
            Location::Peer(peer) if *peer.data_centre == *self.data_centre => 1,
            Location::Peer(_) => 2,
            Location::Unknown => 3,
        }
    }

    fn location(&self, slice: SliceId) -> Location {
        let now = self.clock.now();
        let directory = self.peers.directory();
        let known = self.ownership.with(|o| {
            if o.may_use(slice, now) {
                return Some(None);
            }
            let owner = o.owner_of(slice).filter(|s| *s != o.session());
            owner.map(|session| Some(directory.find(session.host())))
        });
        let peer = match known {
            Some(None) => return Location::Local,
            Some(Some(peer)) => peer,
            None => self.likely_owner(slice),
        };
        match peer {
            Some(peer)
                if !self
                    .negative_cache
                    .borrow()
                    .is_unresponsive(&peer.host, now) =>
            {
                Location::Peer(peer)
            }
            _ => Location::Unknown,
        }
    }

    /// Returns the peer that most likely owns a slice for which no other daemon is recorded as the
    /// owner.
    fn likely_owner(&self, slice: SliceId) -> Option<Peer> {
        let peers = self.peers.directory().peers();
        let candidates: Vec<Candidate<'_>> = peers
            .iter()
            .map(|p| Candidate {
                host: &p.host,
                data_centre: &p.data_centre,
            })
            .collect();
        let best = preferred_host(slice, &candidates)?;
        peers.iter().find(|p| *p.host == *best.host).cloned()
    }

    async fn request_token(
        &self,
        peer: &Peer,
        workspace: &Rc<str>,
        slice: SliceId,
        timeout: Duration,
    ) -> TakeOutcome {
        self.metrics.count(Counter::Asks);
        let sent_at = self.clock.now();
        let req = TokenRequest {
            workspace: workspace.to_string(),
            index: slice.index,
        };
        let response = self
            .peers
            .call_address::<_, TokenResponse>(peer.address, MessageKind::Ask, &req, timeout)
            .await;
        let now = self.clock.now();
        match response {
            Ok(TokenResponse::Granted(lifetime)) => {
                let grant = Grant::from_request(lifetime, sent_at);
                if grant.is_valid(now) {
                    return TakeOutcome::Granted(grant);
                }
                self.metrics.count(Counter::GrantsLate);
                TakeOutcome::NotOwner
            }
            Ok(TokenResponse::Exceeded(wait)) => TakeOutcome::Exceeded(wait),
            Ok(TokenResponse::NotOwner) => TakeOutcome::NotOwner,
            Err(_) => {
                self.metrics.count(Counter::AsksUnanswered);
                self.negative_cache
                    .borrow_mut()
                    .record_unresponsive(&peer.host, now);
                TakeOutcome::NotOwner
            }
        }
    }
}
