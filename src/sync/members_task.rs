//! The task by which a daemon joins the members, and removes those that are gone.

use std::{rc::Rc, time::Duration};

use crate::{
    catalog::Change,
    membership::{Member, Phase},
    metrics::Counter,
    revision::CommitOutcome,
};

use super::{commit::commit, replica::Replica, spread::spread};

/// Shortest time between two looks at the members.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Random time that is added while this daemon is no member yet.
const JOIN_SPREAD: Duration = Duration::from_millis(400);
/// Random time that is added once it is a member.
const IDLE_SPREAD: Duration = Duration::from_secs(10);
/// Time for which a change of others may stay unsettled before this daemon settles it.
const SETTLE_PATIENCE: Duration = Duration::from_secs(5);
/// Time for which a host must have been dropped from the list before it is removed.
const DROPPED_LIMIT: Duration = Duration::from_secs(10);
/// Age of the last read of the table up to which changes are tried.
const TABLE_FRESH: Duration = Duration::from_secs(5);

/// What to do about the members.
enum Need {
    Nothing,
    Change(Vec<Change>),
    Wait,
    Settle(u64),
}

/// Joins the members, settles changes that were left, and removes members that are gone.
pub(super) async fn members_task(replica: Rc<Replica>) {
    let mut unsettled = None;
    loop {
        let spread_time = if is_member(&replica) {
            IDLE_SPREAD
        } else {
            JOIN_SPREAD
        };
        let random = Duration::from_millis(fastrand::u64(..spread_time.as_millis() as u64));
        monoio::time::sleep(MIN_INTERVAL + random).await;
        if replica.table_read_age().is_none_or(|age| age > TABLE_FRESH) {
            continue;
        }
        match need(&replica) {
            Need::Nothing => unsettled = None,
            Need::Wait => {}
            Need::Change(changes) => change(&replica, &changes).await,
            Need::Settle(began) => {
                let (seen, since) = *unsettled.get_or_insert((began, replica.now()));
                if seen != began {
                    unsettled = None;
                } else if replica.now().since(since) > SETTLE_PATIENCE {
                    settle(&replica, began).await;
                }
            }
        }
    }
}

fn is_member(replica: &Replica) -> bool {
    let catalog = replica.parts.view.get();
    let own = catalog.members().find(replica.parts.incarnation);
    own.is_some_and(|(_, phase)| *phase == Phase::Settled)
}

fn need(replica: &Replica) -> Need {
    if replica.held().is_none() {
        return Need::Wait;
    }
    let catalog = replica.parts.view.get();
    let members = catalog.members();
    if let Some(began) = members.pending_change() {
        return Need::Settle(began);
    }
    let own = replica.own_member();
    let mut changes: Vec<Change> = members
        .iter()
        .map(|(m, _)| m)
        .filter(|m| is_gone(replica, m, &own))
        .map(|m| Change::RemoveMember(m.clone()))
        .collect();
    if members.find(own.incarnation).is_none() {
        changes.push(Change::AddMember(own));
    }
    if changes.is_empty() {
        return Need::Nothing;
    }
    Need::Change(changes)
}

/// Tells whether a member is an earlier run of this host, or was dropped by the platform.
fn is_gone(replica: &Replica, member: &Member, own: &Member) -> bool {
    if member.host == own.host {
        return member.incarnation != own.incarnation;
    }
    let directory = replica.parts.peers.directory();
    let dropped = directory.unlisted_for(&member.host);
    dropped.is_some_and(|t| t > DROPPED_LIMIT)
}

async fn change(replica: &Rc<Replica>, changes: &[Change]) {
    if let CommitOutcome::Committed(revision) = commit(replica, changes, None).await {
        replica.parts.metrics.count(Counter::MemberChanges);
        settle(replica, revision).await;
    }
}

/// Settles the change that began with the edit of `began`, once it is accepted.
async fn settle(replica: &Rc<Replica>, began: u64) {
    let held = replica.held().unwrap_or(began);
    if !spread(replica, held.max(began)).await.accepted {
        return;
    }
    let changes = {
        let catalog = replica.parts.view.get();
        let of_phase = |wanted: Phase| {
            let members = catalog.members().iter();
            members.filter(move |(_, phase)| *phase == wanted)
        };
        vec![Change::SettleMembers {
            began,
            joined: of_phase(Phase::Joining).map(|(m, _)| m.clone()).collect(),
            left: of_phase(Phase::Leaving)
                .map(|(m, _)| m.incarnation)
                .collect(),
        }]
    };
    if let CommitOutcome::Committed(revision) = commit(replica, &changes, None).await {
        spread(replica, revision).await;
    }
}
