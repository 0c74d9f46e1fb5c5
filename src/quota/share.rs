//! The share of each plan that one slice holds.

use crate::catalog::Plan;

/// The share of each plan that one slice holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SliceShare {
    /// Number of slices in the fleet.
    pub slices: u32,
    /// Requests above rate and burst that the operator tolerates over the whole fleet; they
    /// compensate for the rounding of small bursts.
    pub slack: f64,
}

impl SliceShare {
    /// Returns the rate of one slice, in requests per second.
    pub fn rate_per_s(&self, plan: &Plan) -> f64 {
        plan.rate_per_s / f64::from(self.slices)
    }

    /// Returns the burst of one slice.
    ///
    /// Half of the slack is distributed over the slices; the other half is reserved for requests
    /// that arrive late.
    pub fn burst(&self, plan: &Plan) -> f64 {
        (f64::from(plan.burst) + self.slack / 2.0) / f64::from(self.slices)
    }
}
