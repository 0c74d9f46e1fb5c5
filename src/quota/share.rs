//! The part of each plan that one slice holds.

use crate::catalog::Plan;

/// The part of each plan that one slice holds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SliceShare {
    /// Slices of the fleet.
    pub slices: u32,
    /// Requests above rate and burst that the operator allows over the whole fleet, which make up
    /// for the rounding of small bursts.
    pub slack: f64,
}

impl SliceShare {
    /// Returns the rate of one slice, 1/s.
    pub fn rate_per_s(&self, plan: &Plan) -> f64 {
        plan.rate_per_s / f64::from(self.slices)
    }

    /// Returns the burst of one slice.
    ///
    /// Half of the slack is spread over the slices; the other half is left for requests that
    /// arrive late.
    pub fn burst(&self, plan: &Plan) -> f64 {
        (f64::from(plan.burst) + self.slack / 2.0) / f64::from(self.slices)
    }
}
