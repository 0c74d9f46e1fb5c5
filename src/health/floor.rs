//! The floor under the capacity in use.

use super::TargetId;

/// A live target that is not leaving.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The target.
    pub id: TargetId,
    /// Its capacity.
    pub slots: u32,
    /// Its suspicion; 1 and above should be ejected.
    pub suspicion: f64,
}

/// Returns the targets to route to, the least suspect first.
///
/// All unsuspected ones are in the set. While they hold less than `floor` of the capacity, the
/// least suspect of the others are added; one target always stays.
pub fn routing_set(candidates: &[Candidate], floor: f64) -> Vec<TargetId> {
    let total: f64 = candidates.iter().map(|c| f64::from(c.slots)).sum();
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|a, b| a.suspicion.total_cmp(&b.suspicion).then(a.id.cmp(&b.id)));
    let mut kept = 0.0;
    let mut set = Vec::with_capacity(sorted.len());
    for c in sorted {
        let below_floor = set.is_empty() || kept < floor * total;
        if c.suspicion >= 1.0 && !below_floor {
            break;
        }
        kept += f64::from(c.slots);
        set.push(c.id);
    }
    set
}
