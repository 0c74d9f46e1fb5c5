//! Judging targets by their work, and choosing among them.

mod balancer;
mod balancer_task;
mod consecutive;
mod detector;
mod floor;
mod target;

pub use balancer::{Balancer, PickError};
pub use balancer_task::{balancer_task, BalancerHandle, BalancerMessage, Picked};
pub use consecutive::Consecutive;
pub use detector::{Detector, Observation, WorkResult};
pub use floor::{routing_set, Candidate};
pub use target::{Target, TargetId, TargetState};
