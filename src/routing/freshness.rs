//! Proof of the freshness of the configuration.

use std::time::Duration;

use crate::clock::BootTime;

/// Maximum drift between two monotonic clocks, as a fraction of the elapsed time.
const MAX_DRIFT: f64 = 0.000_2;

/// The best estimate of the offset of this host's clock from the store's clock.
#[derive(Debug, Clone, Copy)]
struct Offset {
    /// Lower bound of the offset in seconds.
    lower_bound_s: f64,
    /// Time of the estimate.
    estimated_at: BootTime,
}

/// Tracks up to which time the store's responses prove that no newer version exists.
///
/// Times are compared only by the store's own monotonic clock: a response with the store time `t`
/// was produced no earlier than the sending of any call that was answered with an earlier store
/// time. Without such an estimate, a response proves freshness only as of the sending of its call.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    offset: Option<Offset>,
    as_of: Option<BootTime>,
}

impl Freshness {
    /// Records a response with the time `store_time` of the store, to a call sent at `sent` and
    /// answered at `received`.
    pub fn record_answer(&mut self, sent: BootTime, received: BootTime, store_time: Duration) {
        let sample_s = sent.as_duration().as_secs_f64() - store_time.as_secs_f64();
        let previous_s = self.offset.map(|o| {
            let age_s = received.since(o.estimated_at).as_secs_f64();
            o.lower_bound_s - age_s * MAX_DRIFT
        });
        if previous_s.is_none_or(|previous| sample_s >= previous) {
            self.offset = Some(Offset {
                lower_bound_s: sample_s,
                estimated_at: received,
            });
        }
        let lower_bound_s = previous_s.map_or(sample_s, |previous| previous.max(sample_s));
        let produced_s = (store_time.as_secs_f64() + lower_bound_s).max(0.0);
        let produced =
            Duration::try_from_secs_f64(produced_s).map_or(sent, BootTime::from_duration);
        let proven_at = produced.clamp(sent, received.max(sent));
        self.as_of = Some(
            self.as_of
                .map_or(proven_at, |current| current.max(proven_at)),
        );
    }

    /// Forgets the offset of the store's clock, which may have changed as the store came back from an
    /// older copy. What was proven before stays proven.
    pub fn forget_store_clock(&mut self) {
        self.offset = None;
    }

    /// Adopts the proof of a peer that was `age` old at `requested_at`, the time of the request.
    pub fn adopt_peer_proof(&mut self, requested_at: BootTime, age: Duration) {
        let as_of = requested_at.as_duration().saturating_sub(age);
        let proven_at = BootTime::from_duration(as_of);
        self.as_of = Some(
            self.as_of
                .map_or(proven_at, |current| current.max(proven_at)),
        );
    }

    /// Returns the age of the newest proof; `None` before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.as_of.map(|at| now.since(at))
    }
}
