//! What a daemon knows of the others' revisions without the table service.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::BootTime;

use super::{Incarnation, Members};

/// Unit of the ages in a report.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Age of a member that was never heard.
const NEVER: u16 = u16::MAX;

/// What one daemon tells another of whom it heard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReport {
    /// Identity of the reporter.
    pub incarnation: Incarnation,
    /// Revision that it holds.
    pub revision: u64,
    /// Ages of what it heard of each member of that revision, in units of 10 ms.
    pub ages: Vec<u16>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Heard {
    incarnation: Incarnation,
    at: BootTime,
}

/// When each member was last known to hold no higher revision than this daemon.
///
/// What a member answers is counted from when it was asked, and what others heard is counted from
/// then less the age that they tell, so that no two clocks are compared. An answer from a daemon
/// with a higher revision counts only after this daemon has adopted that revision, so what a
/// daemon heard stays true as it moves on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Heartbeats {
    /// Sorted by incarnation.
    heard: Vec<Heard>,
}

impl Heartbeats {
    /// Takes in the answer to a question that was asked at `asked`.
    ///
    /// Returns whether it counts; it does not when the reporter holds a higher revision than
    /// `held`.
    pub fn record(
        &mut self,
        report: &HeartbeatReport,
        asked: BootTime,
        held: u64,
        members: &Members,
    ) -> bool {
        if report.revision > held {
            return false;
        }
        self.record_one(report.incarnation, asked);
        if report.revision == held && report.ages.len() == members.len() {
            for ((member, _), age) in members.iter().zip(&report.ages) {
                let age = AGE_UNIT * u32::from(*age);
                if let Some(at) = asked.as_duration().checked_sub(age) {
                    self.record_if_heard(member.incarnation, BootTime::from_duration(at), age);
                }
            }
        }
        true
    }

    fn record_if_heard(&mut self, incarnation: Incarnation, at: BootTime, age: Duration) {
        if age < AGE_UNIT * u32::from(NEVER) {
            self.record_one(incarnation, at);
        }
    }

    fn record_one(&mut self, incarnation: Incarnation, at: BootTime) {
        match self
            .heard
            .binary_search_by_key(&incarnation, |h| h.incarnation)
        {
            Ok(i) => self.heard[i].at = self.heard[i].at.max(at),
            Err(i) => self.heard.insert(i, Heard { incarnation, at }),
        }
    }

    /// Returns when the member was last known to hold no higher revision.
    pub fn last_heard(&self, incarnation: Incarnation) -> Option<BootTime> {
        let at = self
            .heard
            .binary_search_by_key(&incarnation, |h| h.incarnation);
        at.ok().map(|i| self.heard[i].at)
    }

    /// Makes the report of the daemon `own` that holds `revision`.
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

    /// Returns the latest time since which a quorum of the members, `own` among them at `now`, was
    /// known to hold no higher revision; none without members.
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
        let reached = |t: &BootTime| members.is_quorum(|m| at(m.incarnation) >= Some(*t));
        times.into_iter().rev().find(reached)
    }

    /// Forgets who is no longer a member.
    pub fn retain_members(&mut self, members: &Members) {
        self.heard
            .retain(|h| members.position(h.incarnation).is_some());
    }
}
