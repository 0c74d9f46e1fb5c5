//! The task that adds this daemon to the members and removes members that are gone.

use std::{rc::Rc, time::Duration};

use crate::{
    catalog::Change,
    membership::{Member, Phase},
    metrics::Counter,
    revision::CommitOutcome,
};

use super::{commit::commit, replica::Replica, spread::spread};

/// Shortest time between two checks of the members.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Largest jitter added to the interval until this daemon is a member.
const JOIN_JITTER: Duration = Duration::from_millis(400);
/// Largest jitter added to the interval once it is a member.
const IDLE_JITTER: Duration = Duration::from_secs(10);
/// Time for which another daemon's change may stay pending before this daemon settles it.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a host must have been missing from the platform's list before its member is
/// removed.
const REMOVAL_DELAY: Duration = Duration::from_secs(10);
/// Age of the last read of the table up to which changes are attempted.
const MAX_TABLE_AGE: Duration = Duration::from_secs(5);

/// The action that the state of the members requires.
enum Action {
    Nothing,
    Change(Vec<Change>),
    Wait,
    Settle(u64),
}

/// Adds this daemon to the members, settles pending changes, and removes members that are gone.
pub(super) async fn members_task(replica: Rc<Replica>) {
    let mut pending = None;
    loop {
        let max_jitter = if is_member(&replica) {
            IDLE_JITTER
        } else {
            JOIN_JITTER
        };
        let jitter = Duration::from_millis(fastrand::u64(..max_jitter.as_millis() as u64));
        monoio::time::sleep(MIN_INTERVAL + jitter).await;
        let table_age = replica.table_read_age();
        if table_age.is_none_or(|age| age > MAX_TABLE_AGE) {
            continue;
        }
        match required_action(&replica) {
            Action::Nothing => pending = None,
            Action::Wait => {}
            Action::Change(changes) => change(&replica, &changes).await,
            Action::Settle(began) => {
                let (seen, since) = *pending.get_or_insert((began, replica.now()));
                if seen != began {
                    pending = None;
                } else if replica.now().since(since) > SETTLE_TIMEOUT {
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

fn required_action(replica: &Replica) -> Action {
    if replica.held().is_none() {
        return Action::Wait;
    }
    let catalog = replica.parts.view.get();
    let members = catalog.members();
    if let Some(began) = members.pending_change() {
        return Action::Settle(began);
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
        return Action::Nothing;
    }
    Action::Change(changes)
}

/// Returns whether a member is another run on this host, or its host has been missing from the
/// platform's list for [`REMOVAL_DELAY`].
fn is_gone(replica: &Replica, member: &Member, own: &Member) -> bool {
    if member.host == own.host {
        return member.incarnation != own.incarnation;
    }
    let directory = replica.parts.peers.directory();
    let unlisted = directory.unlisted_for(&member.host);
    unlisted.is_some_and(|t| t > REMOVAL_DELAY)
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
