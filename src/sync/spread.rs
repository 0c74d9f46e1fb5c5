//! Passing edits on over the fleet, and asking who holds them.

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

/// Daemons to which one daemon passes edits on.
const FANOUT: usize = 6;
/// Time in which the whole fleet is to answer.
const FLEET_LIMIT: Duration = Duration::from_millis(1200);
/// Time in which one daemon is to answer.
const SINGLE_LIMIT: Duration = Duration::from_millis(500);
/// Share of its own limit that a daemon gives to those to whom it passes edits on, %.
const LIMIT_SHARE: u32 = 70;
/// Time between two rounds of questions.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which an edit must be accepted to be answered as such.
const ACCEPT_LIMIT: Duration = Duration::from_millis(4000);
/// Most daemons that are asked one by one in a round.
const MAX_SINGLES: usize = 64;

/// What came of spreading a revision.
pub(super) struct Spreading {
    /// Whether more than half of the members hold the revision or are gone.
    pub(super) accepted: bool,
    /// Members that neither hold it nor are gone.
    pub(super) missing: Vec<String>,
}

/// Spreads the newest edits up to `revision`, and waits until it is accepted or time is over.
pub(super) async fn spread(replica: &Rc<Replica>, revision: u64) -> Spreading {
    let mut acks = AckTracker::default();
    confirm_own(replica, &mut acks);
    let began = replica.now();
    let everyone = all_daemons(replica);
    ask_tree(replica, revision, everyone, FLEET_LIMIT, &mut acks).await;
    loop {
        let state = judge(replica, &acks);
        if state.accepted || replica.now().since(began) > ACCEPT_LIMIT {
            return state;
        }
        monoio::time::sleep(ROUND_INTERVAL).await;
        let singles = missing_daemons(replica, &acks);
        ask_singles(replica, revision, singles, &mut acks).await;
    }
}

fn confirm_own(replica: &Replica, acks: &mut AckTracker) {
    acks.record(&Ack {
        incarnation: replica.parts.incarnation,
        host: &replica.parts.host,
    });
}

fn judge(replica: &Replica, acks: &AckTracker) -> Spreading {
    let catalog = replica.parts.view.get();
    let directory = replica.parts.peers.directory();
    let dropped = |host: &str| directory.unlisted_for(host).is_some();
    let missing = acks.missing(catalog.members(), dropped);
    Spreading {
        accepted: acks.is_accepted(catalog.members(), dropped),
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

/// Returns all other daemons, listed ones and members, those of one data centre side by side.
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

async fn ask_singles(
    replica: &Rc<Replica>,
    revision: u64,
    daemons: Vec<PeerAddress>,
    acks: &mut AckTracker,
) {
    let alone = daemons.into_iter().map(|d| vec![d]).collect();
    ask_groups(replica, revision, alone, SINGLE_LIMIT, acks).await;
}

async fn ask_tree(
    replica: &Rc<Replica>,
    revision: u64,
    daemons: Vec<PeerAddress>,
    limit: Duration,
    acks: &mut AckTracker,
) {
    let groups = split(daemons);
    ask_groups(replica, revision, groups, limit, acks).await;
}

fn split(daemons: Vec<PeerAddress>) -> Vec<Vec<PeerAddress>> {
    let size = daemons.len().div_ceil(FANOUT).max(1);
    daemons.chunks(size).map(<[_]>::to_vec).collect()
}

async fn ask_groups(
    replica: &Rc<Replica>,
    revision: u64,
    groups: Vec<Vec<PeerAddress>>,
    limit: Duration,
    acks: &mut AckTracker,
) {
    for holder in pass_on(replica, revision, groups, limit).await {
        acks.record(&Ack {
            incarnation: holder.incarnation,
            host: &holder.host,
        });
    }
}

/// Passes the last edits up to `revision` to the first daemon of each group, which passes them on
/// to the rest, and returns who holds them.
pub(super) async fn pass_on(
    replica: &Rc<Replica>,
    revision: u64,
    groups: Vec<Vec<PeerAddress>>,
    limit: Duration,
) -> Vec<Holder> {
    let edits = replica.log.borrow().behind(revision - 1, 1);
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
            match replica.ask(address, &call, limit).await {
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

/// Takes in edits that another daemon spreads, passes them on, and returns who holds them.
pub(super) async fn take_spread(replica: &Rc<Replica>, from: &str, msg: Spread) -> Vec<Holder> {
    if msg.limit_ms == 0 || msg.revision == 0 {
        return Vec::new();
    }
    let limit = Duration::from_millis(u64::from(msg.limit_ms)) * LIMIT_SHARE / 100;
    if replica.adopt(&msg.edits).is_some() || replica.held() < Some(msg.revision) {
        fill_gap(replica, from, limit).await;
    }
    let mut holders = Vec::new();
    if !msg.forward.is_empty() {
        let groups = split(msg.forward);
        holders = pass_on(replica, msg.revision, groups, limit).await;
    }
    if replica.held() >= Some(msg.revision) {
        holders.push(Holder {
            incarnation: replica.parts.incarnation,
            host: replica.parts.host.clone(),
        });
    }
    holders
}

/// Fetches the missing edits from the daemon that spoke of them, or from the table.
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
