//! Dissemination of edits to the fleet, and collection of acknowledgements.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use monoio::time::timeout;

use crate::{
    membership::Member,
    metrics::Counter,
    revision::{Ack, AckTracker},
};

use super::{
    messages::{Holder, PeerAddress, RevisionCall, RevisionReply, Spread},
    replica::Replica,
};

/// Daemons to which one daemon forwards edits.
const FANOUT: usize = 6;
/// Timeout for the whole fleet to respond.
const FLEET_TIMEOUT: Duration = Duration::from_millis(1200);
/// Timeout for one daemon to respond.
const SINGLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Share of its own timeout that a daemon allows those to which it forwards edits, %.
const TIMEOUT_SHARE: u32 = 70;
/// Time between two rounds of sending the edit to single daemons.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which an edit must be accepted to be reported as accepted.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum number of daemons to which one round sends the edit individually.
const MAX_SINGLES: usize = 64;

/// Result of disseminating a revision.
pub(super) struct SpreadResult {
    /// Whether a majority of the members hold the revision or are gone.
    pub(super) accepted: bool,
    /// Hosts of the members that neither hold it nor are gone.
    pub(super) missing: Vec<String>,
}

/// Sends the edit of `revision` to the fleet, and waits until the revision is accepted or the time
/// limit has passed.
pub(super) async fn spread(replica: &Rc<Replica>, revision: u64) -> SpreadResult {
    let mut acks = AckTracker::default();
    record_own_ack(replica, &mut acks);
    let began = replica.now();
    let everyone = all_daemons(replica);
    send_to_tree(replica, revision, everyone, FLEET_TIMEOUT, &mut acks).await;
    loop {
        let result = evaluate(replica, &acks);
        if result.accepted || replica.now().since(began) > ACCEPT_TIMEOUT {
            return result;
        }
        monoio::time::sleep(ROUND_INTERVAL).await;
        let singles = missing_daemons(replica, &acks);
        send_to_singles(replica, revision, singles, &mut acks).await;
    }
}

fn record_own_ack(replica: &Replica, acks: &mut AckTracker) {
    acks.record(&Ack {
        incarnation: replica.parts.incarnation,
        host: &replica.parts.host,
    });
}

fn evaluate(replica: &Replica, acks: &AckTracker) -> SpreadResult {
    let catalog = replica.parts.view.get();
    let directory = replica.parts.peers.directory();
    let is_unlisted = |host: &str| directory.unlisted_for(host).is_some();
    let missing = acks.missing(catalog.members(), is_unlisted);
    SpreadResult {
        accepted: acks.is_accepted(catalog.members(), is_unlisted),
        missing: missing.map(|m| m.host.clone()).collect(),
    }
}

fn address_of(replica: &Replica, member: &Member) -> PeerAddress {
    let directory = replica.parts.peers.directory();
    PeerAddress {
        host: member.host.clone(),
        address: directory
            .find(&member.host)
            .map_or(member.address, |p| p.listed_address),
    }
}

/// Returns all other daemons, both listed ones and members, sorted so that those of one data centre
/// are adjacent.
pub(super) fn all_daemons(replica: &Replica) -> Vec<PeerAddress> {
    let mut all = BTreeMap::new();
    let catalog = replica.parts.view.get();
    for (member, _) in catalog.members().iter() {
        let place = (String::new(), member.host.clone());
        all.insert(member.host.clone(), (place, member.address));
    }
    for peer in replica.parts.peers.directory().peers().iter() {
        let place = (peer.data_centre.to_string(), peer.host.to_string());
        all.insert(peer.host.to_string(), (place, peer.listed_address));
    }
    all.remove(&replica.parts.host);
    let mut all: Vec<_> = all.into_values().collect();
    all.sort();
    let daemon = |((_, host), address)| PeerAddress { host, address };
    all.into_iter().map(daemon).collect()
}

fn missing_daemons(replica: &Replica, acks: &AckTracker) -> Vec<PeerAddress> {
    let catalog = replica.parts.view.get();
    let missing = acks.missing(catalog.members(), |_| false);
    let mut missing: Vec<PeerAddress> = missing.map(|m| address_of(replica, m)).collect();
    missing.retain(|p| p.host != replica.parts.host);
    missing.dedup();
    fastrand::shuffle(&mut missing);
    missing.truncate(MAX_SINGLES);
    missing
}

async fn send_to_singles(
    replica: &Rc<Replica>,
    revision: u64,
    daemons: Vec<PeerAddress>,
    acks: &mut AckTracker,
) {
    let groups = daemons.into_iter().map(|d| vec![d]).collect();
    send_to_groups(replica, revision, groups, SINGLE_TIMEOUT, acks).await;
}

async fn send_to_tree(
    replica: &Rc<Replica>,
    revision: u64,
    daemons: Vec<PeerAddress>,
    limit: Duration,
    acks: &mut AckTracker,
) {
    let groups = split(daemons);
    send_to_groups(replica, revision, groups, limit, acks).await;
}

fn split(daemons: Vec<PeerAddress>) -> Vec<Vec<PeerAddress>> {
    let size = daemons.len().div_ceil(FANOUT).max(1);
    daemons.chunks(size).map(<[_]>::to_vec).collect()
}

async fn send_to_groups(
    replica: &Rc<Replica>,
    revision: u64,
    groups: Vec<Vec<PeerAddress>>,
    limit: Duration,
    acks: &mut AckTracker,
) {
    for holder in forward(replica, revision, groups, limit).await {
        acks.record(&Ack {
            incarnation: holder.incarnation,
            host: &holder.host,
        });
    }
}

/// Sends the edit of `revision` to the first daemon of each group, which forwards it to the rest,
/// and returns the daemons that hold it.
async fn forward(
    replica: &Rc<Replica>,
    revision: u64,
    groups: Vec<Vec<PeerAddress>>,
    limit: Duration,
) -> Vec<Holder> {
    let edits = replica.log.borrow().edits_after(revision - 1, 1);
    let edits = edits.unwrap_or_default();
    let mut tasks = Vec::new();
    for mut group in groups {
        let first = group.remove(0);
        let call = RevisionCall::Spread(Spread {
            edits: edits.clone(),
            revision,
            forward: group,
            limit_ms: limit.as_millis() as u32,
        });
        let replica = replica.clone();
        tasks.push(monoio::spawn(async move {
            replica.parts.metrics.count(Counter::EditsSpread);
            let address = replica
                .parts
                .peers
                .directory()
                .address_of(&first.host, first.address);
            match replica.call(address, &call, limit).await {
                Ok(RevisionReply::Holders(holders)) => holders,
                _ => Vec::new(),
            }
        }));
    }
    let mut holders = Vec::new();
    for task in tasks {
        holders.extend(task.await);
    }
    holders
}

/// Applies edits sent by another daemon, forwards the edit of `msg.revision`, and returns the daemons
/// that hold it.
pub(super) async fn handle_spread(replica: &Rc<Replica>, from: &str, msg: Spread) -> Vec<Holder> {
    if msg.limit_ms == 0 || msg.revision == 0 {
        return Vec::new();
    }
    let limit = Duration::from_millis(u64::from(msg.limit_ms)) * TIMEOUT_SHARE / 100;
    if replica.adopt(&msg.edits).is_some() || replica.held() < Some(msg.revision) {
        fill_gap(replica, from, limit).await;
    }
    let mut holders = Vec::new();
    if !msg.forward.is_empty() {
        let groups = split(msg.forward);
        holders = forward(replica, msg.revision, groups, limit).await;
    }
    if replica.held() >= Some(msg.revision) {
        holders.push(Holder {
            incarnation: replica.parts.incarnation,
            host: replica.parts.host.clone(),
        });
    }
    holders
}

/// Fetches the missing edits from the sender of later ones, or from the table.
async fn fill_gap(replica: &Rc<Replica>, from: &str, limit: Duration) {
    if replica.held().is_none() {
        return;
    }
    let peer = replica.parts.peers.directory().find(from);
    if let Some(peer) = peer {
        if replica.fetch_edits(peer.address).await.is_ok() {
            return;
        }
    }
    let _ = timeout(limit, replica.catch_up()).await;
}
