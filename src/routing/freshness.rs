//! Proof that the configuration held is the newest one.

use std::time::Duration;

use crate::clock::BootTime;

/// Most that two steady clocks drift apart, as a share of the time that passes.
const MAX_DRIFT: f64 = 0.000_2;

/// The best estimate of how far this host's clock runs ahead of the store's.
#[derive(Debug, Clone, Copy)]
struct Offset {
    /// Least difference of this host's clock to the store's, s.
    least_s: f64,
    /// When the estimate was made.
    made: BootTime,
}

/// Knows until which moment the store's answers prove that nothing newer exists.
///
/// Clocks are compared through the store's own steady clock alone: an answer that states the
/// store's time `t` was formed no earlier than any call whose answer stated an earlier time was
/// sent. Without such an estimate, an answer proves no more than the moment of its call.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    offset: Option<Offset>,
    as_of: Option<BootTime>,
}

impl Freshness {
    /// Takes note of an answer that was called for at `sent`, arrived at `received` and states
    /// the store's time.
    pub fn record_answer(&mut self, sent: BootTime, received: BootTime, store_time: Duration) {
        let sampled_s = sent.as_duration().as_secs_f64() - store_time.as_secs_f64();
        let kept_s = self.offset.map(|o| {
            let aged = received.since(o.made).as_secs_f64();
            o.least_s - aged * MAX_DRIFT
        });
        if kept_s.is_none_or(|kept| sampled_s >= kept) {
            self.offset = Some(Offset {
                least_s: sampled_s,
                made: received,
            });
        }
        let least_s = kept_s.map_or(sampled_s, |kept| kept.max(sampled_s));
        let formed_s = (store_time.as_secs_f64() + least_s).max(0.0);
        let formed = Duration::try_from_secs_f64(formed_s).map_or(sent, BootTime::from_duration);
        let proven = formed.clamp(sent, received.max(sent));
        self.as_of = Some(self.as_of.map_or(proven, |known| known.max(proven)));
    }

    /// Takes over a proof of another daemon that is `age` old at `asked`, when it was asked for.
    pub fn adopt_peer_proof(&mut self, asked: BootTime, age: Duration) {
        let as_of = asked.as_duration().saturating_sub(age);
        let proven = BootTime::from_duration(as_of);
        self.as_of = Some(self.as_of.map_or(proven, |known| known.max(proven)));
    }

    /// Returns the age of the newest proof; none before the first one.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.as_of.map(|at| now.since(at))
    }
}
