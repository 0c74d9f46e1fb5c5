//! How a plan is split over slices and portions.

use std::time::Duration;

use crate::{
    catalog::Plan,
    lease::{Portion, PARTS_PER_SLICE, SLICES_PER_PARTITION},
};

/// Maximum lifetime of a grant, counted from when it was requested.
const MAX_LIFETIME: Duration = Duration::from_millis(50);
/// Minimum lifetime of a grant.
const MIN_LIFETIME: Duration = Duration::from_millis(5);
/// Divisor of the burst: the tokens refilled during the lifetime of a grant are at most 1 / 4 of
/// the burst, unless [`MIN_LIFETIME`] makes the lifetime longer.
const LIFETIME_DIVISOR: f64 = 4.0;

/// Rate and burst of one bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BucketLimits {
    /// Tokens per second.
    pub rate_per_s: f64,
    /// Capacity in tokens, always a whole number.
    pub burst: f64,
}

/// How a plan is split over slices and portions.
///
/// The requests of all slices and portions together never exceed the plan, even if each token is
/// used as late as its grant's lifetime allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlanSplit {
    rate_per_s: f64,
    tokens: u32,
    slices: u8,
    lifetime: Duration,
}

impl PlanSplit {
    /// Computes the split of a plan.
    pub fn new(plan: &Plan) -> Self {
        let burst = f64::from(plan.burst);
        let rate_per_s = if plan.rate_per_s.is_finite() {
            plan.rate_per_s.max(0.0)
        } else {
            0.0
        };
        let lifetime = grant_lifetime(rate_per_s, burst);
        let left = (burst - rate_per_s * lifetime.as_secs_f64()).floor();
        if left < 1.0 {
            return Self::single_token(rate_per_s, plan.burst, lifetime);
        }
        let tokens = left as u32;
        Self {
            rate_per_s,
            tokens,
            slices: u8::try_from(tokens)
                .unwrap_or(u8::MAX)
                .min(SLICES_PER_PARTITION),
            lifetime,
        }
    }

    /// Splits a plan whose burst is too small to reserve tokens for the lifetime: a single token,
    /// with the lifetime added to the interval between tokens.
    fn single_token(rate_per_s: f64, burst: u32, lifetime: Duration) -> Self {
        let rate_per_s = if rate_per_s > 0.0 {
            1.0 / (1.0 / rate_per_s + lifetime.as_secs_f64())
        } else {
            0.0
        };
        Self {
            rate_per_s,
            tokens: burst.min(1),
            slices: 1,
            lifetime,
        }
    }

    /// Returns the number of slices.
    pub fn slice_count(&self) -> u8 {
        self.slices
    }

    /// Returns the lifetime of a grant, counted from when it was requested.
    pub fn lifetime(&self) -> Duration {
        self.lifetime
    }

    /// Returns the limits of the bucket for `portions` of slice `index`; `None` if the portions
    /// hold no whole token.
    pub fn bucket_limits(&self, index: u8, portions: &[Portion]) -> Option<BucketLimits> {
        if index >= self.slices {
            return None;
        }
        let tokens: u64 = portions.iter().map(|p| self.tokens_in(index, p)).sum();
        if tokens == 0 {
            return None;
        }
        Some(BucketLimits {
            rate_per_s: self.rate_per_s * tokens as f64 / f64::from(self.tokens),
            burst: tokens as f64,
        })
    }

    /// Returns the number of whole tokens in a portion; the counts of adjacent portions add up
    /// without rounding loss.
    fn tokens_in(&self, index: u8, portion: &Portion) -> u64 {
        let below = |part: u32| {
            let position = u64::from(index) * u64::from(PARTS_PER_SLICE) + u64::from(part);
            position * u64::from(self.tokens)
                / (u64::from(self.slices) * u64::from(PARTS_PER_SLICE))
        };
        below(portion.to) - below(portion.from)
    }
}

fn grant_lifetime(rate_per_s: f64, burst: f64) -> Duration {
    let affordable = burst / (rate_per_s * LIFETIME_DIVISOR);
    let affordable = Duration::try_from_secs_f64(affordable).unwrap_or(MAX_LIFETIME);
    affordable.clamp(MIN_LIFETIME, MAX_LIFETIME)
}
