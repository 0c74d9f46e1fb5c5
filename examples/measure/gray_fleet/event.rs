//! Events of virtual time.

use chervillug::health::SuspicionMessage;

/// What happens at a point of virtual time.
#[derive(Debug)]
pub(super) enum Event {
    Arrive(usize),
    Done(usize),
    Deadline(usize),
    Message(usize, usize, SuspicionMessage),
    Tick,
    Round,
    Probe,
}

/// An event with its time, ns, and a number that orders events of one time.
pub(super) struct Entry(pub(super) u64, pub(super) u64, pub(super) Event);

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Entry {}
impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
