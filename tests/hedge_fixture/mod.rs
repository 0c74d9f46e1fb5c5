//! A request that may be hedged, for tests.

use std::time::Duration;

use chervillug::retry::{HedgeConditions, HedgePolicy};

/// A request that may be sent to two targets.
pub(crate) const ALLOWED: HedgePolicy = HedgePolicy {
    repeatable: true,
    is_get: true,
    replayable: true,
};

/// Conditions under which nothing speaks against a second attempt.
pub(crate) const GOOD: HedgeConditions = HedgeConditions {
    has_attempt_left: true,
    is_admitted: true,
    is_service_slow: false,
    time_left: Duration::from_millis(500),
    usual_latency: Duration::from_millis(10),
    is_budget_low: false,
    has_room: true,
};
