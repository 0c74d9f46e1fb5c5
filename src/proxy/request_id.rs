//! Request ids.

/// Generates request ids that are unique in the fleet.
pub(super) struct RequestIds {
    rng: fastrand::Rng,
}

impl Default for RequestIds {
    fn default() -> Self {
        let mut seed = [0; 8];
        if getrandom::fill(&mut seed).is_err() {
            fastrand::fill(&mut seed);
        }
        Self {
            rng: fastrand::Rng::with_seed(u64::from_le_bytes(seed)),
        }
    }
}

impl RequestIds {
    /// Returns a new id.
    pub(super) fn next(&mut self) -> String {
        format!("{:032x}", self.rng.u128(..))
    }
}
