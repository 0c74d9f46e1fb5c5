//! A sum that forgets exponentially.

use std::time::Duration;

use crate::clock::BootTime;

/// A sum whose parts halve with every half-life.
#[derive(Debug, Clone, Copy, Default)]
pub struct DecayingSum {
    value: f64,
    at: BootTime,
}

impl DecayingSum {
    /// Returns the sum as of `now`.
    pub fn get(&self, now: BootTime, half_life: Duration) -> f64 {
        let age = now.since(self.at);
        if age.is_zero() {
            return self.value;
        }
        self.value * (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
    }

    /// Adds `amount` at `now`.
    pub fn add(&mut self, amount: f64, now: BootTime, half_life: Duration) {
        let value = self.get(now, half_life) + amount;
        self.set(value, now);
    }

    /// Replaces the sum.
    pub fn set(&mut self, value: f64, now: BootTime) {
        self.value = value;
        self.at = self.at.max(now);
    }
}
