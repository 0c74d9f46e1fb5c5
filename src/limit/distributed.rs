//! The limiter that takes tokens from the slices' owners.

use std::{cell::RefCell, rc::Rc, time::Duration};

use crate::{
    catalog::Plan,
    clock::Clock,
    lease::{partition_of, preferred_host, Candidate, SliceId},
    metrics::{Counter, Metrics},
    peer::{MessageKind, Peer, PeerClient},
    store::BoxFuture,
};

use super::{
    Admission, Grant, Limiter, NegativeCache, OwnershipHandle, PlanSplit, TakeOutcome,
    TokenRequest, TokenResponse,
};

/// Takes a token here when this host owns a slice of the workspace, or asks an owner.
pub struct DistributedLimiter {
    /// What this daemon owns.
    pub owner: OwnershipHandle,
    /// Calls other daemons.
    pub peers: PeerClient,
    /// Data centre of this host.
    pub data_centre: String,
    /// What earlier asks told.
    pub negative_cache: RefCell<NegativeCache>,
    /// Source of time.
    pub clock: Rc<dyn Clock>,
    /// The counters.
    pub metrics: Rc<Metrics>,
}

/// Where a slice is asked for.
enum Place {
    Here,
    Peer(Peer),
    Unknown,
}

/// What the slices asked so far told.
#[derive(Default)]
struct Tally {
    wait: Option<Duration>,
}

impl Tally {
    fn refused(&mut self, wait: Duration) {
        self.wait = Some(self.wait.map_or(wait, |w| w.min(wait)));
    }
}

impl Limiter for DistributedLimiter {
    fn admit<'a>(&'a self, workspace: &'a Rc<str>, plan: &'a Plan) -> BoxFuture<'a, Admission> {
        Box::pin(self.admit_one(workspace, plan))
    }
}

impl DistributedLimiter {
    async fn admit_one(&self, workspace: &Rc<str>, plan: &Plan) -> Admission {
        if plan.burst == 0 {
            return Admission::Exceeded(Duration::MAX);
        }
        let split = PlanSplit::new(plan);
        let mut tally = Tally::default();
        for (slice, place) in self.places(workspace, &split) {
            let now = self.clock.now();
            let remembered =
                self.negative_cache
                    .borrow()
                    .remaining_wait(workspace, slice.index, now);
            if let Some(wait) = remembered {
                tally.refused(wait);
                continue;
            }
            let taken = match place {
                Place::Here => self.owner.with(|o| o.take(slice, workspace, plan, now)),
                Place::Peer(peer) => self.ask(&peer, workspace, slice, split.lifetime()).await,
                Place::Unknown => TakeOutcome::NotOwner,
            };
            match taken {
                TakeOutcome::Granted(grant) => return Admission::Granted(grant),
                TakeOutcome::Exceeded(wait) => {
                    let now = self.clock.now();
                    let mut negative_cache = self.negative_cache.borrow_mut();
                    negative_cache.record_refusal(workspace, slice.index, wait, now);
                    tally.refused(wait);
                }
                TakeOutcome::NotOwner => self.owner.request_refresh(),
            }
        }
        match tally.wait {
            Some(wait) => Admission::Exceeded(wait),
            None => Admission::Unavailable,
        }
    }

    /// Returns the workspace's slices and where to ask for them, the nearest first.
    fn places(&self, workspace: &Rc<str>, split: &PlanSplit) -> Vec<(SliceId, Place)> {
        let partition = partition_of(workspace);
        let slices = (0..split.slice_count()).map(|index| SliceId { partition, index });
        let mut places: Vec<(u8, u32, SliceId, Place)> = slices
            .map(|slice| {
                let place = self.place(slice);
                (self.distance(&place), fastrand::u32(..), slice, place)
            })
            .collect();
        places.sort_by_key(|(distance, random, ..)| (*distance, *random));
        places.into_iter().map(|(_, _, s, p)| (s, p)).collect()
    }

    fn distance(&self, place: &Place) -> u8 {
        match place {
            Place::Here => 0,
            Place::Peer(peer) if *peer.data_centre == *self.data_centre => 1,
            Place::Peer(_) => 2,
            Place::Unknown => 3,
        }
    }

    fn place(&self, slice: SliceId) -> Place {
        let now = self.clock.now();
        let directory = self.peers.directory();
        let known = self.owner.with(|o| {
            if o.may_use(slice, now) {
                return Some(None);
            }
            let owner = o.owner_of(slice).filter(|s| *s != o.session());
            owner.map(|session| Some(directory.find(session.host())))
        });
        let peer = match known {
            Some(None) => return Place::Here,
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
                Place::Peer(peer)
            }
            _ => Place::Unknown,
        }
    }

    /// Returns the peer that owns a slice most likely, as long as no row of it was read.
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

    async fn ask(
        &self,
        peer: &Peer,
        workspace: &Rc<str>,
        slice: SliceId,
        limit: Duration,
    ) -> TakeOutcome {
        self.metrics.count(Counter::Asks);
        let sent_at = self.clock.now();
        let req = TokenRequest {
            workspace: workspace.to_string(),
            index: slice.index,
        };
        let answer = self
            .peers
            .call_address::<_, TokenResponse>(peer.address, MessageKind::Ask, &req, limit)
            .await;
        let now = self.clock.now();
        match answer {
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
