//! Events of the simulation, in virtual time.

use chervillug::health::SuspicionMessage;

/// An event of the simulation.
#[derive(Debug)]
pub(super) enum Event {
    /// The next request of a workspace arrives.
    Arrival(usize),
    /// A target finishes a request.
    Completion(usize),
    /// A request reaches its deadline.
    Deadline(usize),
    /// A message from one daemon reaches another.
    Message(usize, usize, SuspicionMessage),
    /// The schedulers tick.
    Tick,
    /// The daemons run a round of the suspicion exchange.
    Round,
    /// The daemons probe targets.
    Probe,
}

/// An event with its time in nanoseconds, and a sequence number that orders events with the same
/// time.
pub(super) struct ScheduledEvent(pub(super) u64, pub(super) u64, pub(super) Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
