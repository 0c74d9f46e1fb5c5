//! Heartbeats, by which a daemon learns of the others' revisions without the table service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

use super::{Incarnation, Members};

/// Unit of the ages in a report.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Age of a member from which no heartbeat was received.
const NEVER: u16 = u16::MAX;

/// A daemon's revision and the ages of the heartbeats that it received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Identity of the reporter.
    pub incarnation: Incarnation,
    /// Revision that the reporter holds.
    pub revision: u64,
    /// Age of the last heartbeat of each member of that revision, in units of 10 ms; 65535 if there
    /// was none or it is older.
    pub ages: Vec<u16>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Heartbeat {
    incarnation: Incarnation,
    at: BootTime,
}

/// When each member was last known to hold no higher revision than this daemon.
///
/// A member's own report counts from the time of the request, and the heartbeats in a report count
/// from that time less their stated age, so that the clocks of two hosts are never compared. A
/// report from a daemon with a higher revision counts only once this daemon has adopted that
/// revision, so that recorded heartbeats stay valid when this daemon's revision advances.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Heartbeats {
    /// Sorted by incarnation.
    last: Vec<Heartbeat>,
}

impl Heartbeats {
    /// Records the report in the response to a request sent at `requested`.
    ///
    /// Returns whether the report counts; it does not if the reporter holds a higher revision than
    /// `held`. The ages in it count only if the reporter holds the same revision, as they are listed in
    /// the order of the members of that revision.
    pub fn record(
        &mut self,
        report: &HeartbeatReport,
        requested: BootTime,
        held: u64,
        members: &Members,
    ) -> bool {
        if report.revision > held {
            return false;
        }
        self.record_one(report.incarnation, requested);
        if report.revision == held && report.ages.len() == members.len() {
            for ((member, _), age) in members.iter().zip(&report.ages) {
                let age = AGE_UNIT * u32::from(*age);
                if let Some(at) = requested.as_duration().checked_sub(age) {
                    self.record_if_known(member.incarnation, BootTime::from_duration(at), age);
                }
            }
        }
        true
    }

    fn record_if_known(&mut self, incarnation: Incarnation, at: BootTime, age: Duration) {
        if age < AGE_UNIT * u32::from(NEVER) {
            self.record_one(incarnation, at);
        }
    }

    fn record_one(&mut self, incarnation: Incarnation, at: BootTime) {
        match self
            .last
            .binary_search_by_key(&incarnation, |h| h.incarnation)
        {
            Ok(i) => self.last[i].at = self.last[i].at.max(at),
            Err(i) => self.last.insert(i, Heartbeat { incarnation, at }),
        }
    }

    /// Returns when the member was last known to hold no higher revision.
    pub fn last_heard(&self, incarnation: Incarnation) -> Option<BootTime> {
        let at = self
            .last
            .binary_search_by_key(&incarnation, |h| h.incarnation);
        at.ok().map(|i| self.last[i].at)
    }

    /// Builds the report of the daemon `own`, which holds `revision`.
    pub fn report(
        &self,
        own: Incarnation,
        revision: u64,
        members: &Members,
        now: BootTime,
    ) -> HeartbeatReport {
        let ages = members.iter().map(|(m, _)| {
            if m.incarnation == own {
                return 0;
            }
            self.last_heard(m.incarnation).map_or(NEVER, |at| {
                let units = now.since(at).as_millis().div_ceil(AGE_UNIT.as_millis());
                u16::try_from(units).unwrap_or(NEVER)
            })
        });
        HeartbeatReport {
            incarnation: own,
            revision,
            ages: ages.collect(),
        }
    }

    /// Returns the latest time at which a quorum of the members was known to hold no higher
    /// revision, counting `own` as known at `now`; `None` without members.
    pub fn quorum_last_heard(
        &self,
        own: Incarnation,
        members: &Members,
        now: BootTime,
    ) -> Option<BootTime> {
        if members.is_empty() {
            return None;
        }
        let at = |i: Incarnation| {
            if i == own {
                return Some(now);
            }
            self.last_heard(i)
        };
        let mut times: Vec<BootTime> = members
            .iter()
            .filter_map(|(m, _)| at(m.incarnation))
            .collect();
        times.sort_unstable();
        let is_reached = |t: &BootTime| members.is_quorum(|m| at(m.incarnation) >= Some(*t));
        times.into_iter().rev().find(is_reached)
    }

    /// Drops the heartbeats of former members.
    pub fn retain_members(&mut self, members: &Members) {
        self.last
            .retain(|h| members.position(h.incarnation).is_some());
    }
}
