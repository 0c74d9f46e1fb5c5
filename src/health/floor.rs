//! The floor, the minimum share of a service's capacity that is routed to.

use super::TargetId;

/// A live target that is not leaving.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Identity of the target.
    pub id: TargetId,
    /// Capacity, in concurrent requests.
    pub slots: u32,
    /// Suspicion; a target with 1 or more should be ejected.
    pub suspicion: f64,
}

/// Returns the targets to route to, with the lowest suspicion first.
///
/// The set contains all targets with a suspicion below 1. While they have less than the share
/// `floor` of the total capacity, the others are added in the order of their suspicion. At least
/// one target is always kept.
pub fn routing_set(candidates: &[Candidate], floor: f64) -> Vec<TargetId> {
    let total: f64 = candidates.iter().map(|c| f64::from(c.slots)).sum();
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|a, b| a.suspicion.total_cmp(&b.suspicion).then(a.id.cmp(&b.id)));
    let mut routed_slots = 0.0;
    let mut set = Vec::with_capacity(sorted.len());
    for c in sorted {
        let below_floor = set.is_empty() || routed_slots < floor * total;
        if c.suspicion >= 1.0 && !below_floor {
            break;
        }
        routed_slots += f64::from(c.slots);
        set.push(c.id);
    }
    set
}
