//! Decisions during the life of a request, from the choice of a target to the end of the answer.
//!
//! [`RequestStateMachine`] decides, and holds neither sockets nor clocks. [`RetryBudget`] bounds what
//! retries add to the load of a service, and [`LatencyWindow`] tells when a connection counts as
//! silent.

mod action;
mod attempt_failure;
mod budget;
mod event;
mod latency_window;
mod policy;
mod reason;
mod repeatable;
mod service_state;
mod state_machine;

pub use action::{Action, ConnectionSource};
pub use attempt_failure::AttemptFailure;
pub use budget::{RetryBudget, RetryBudgetConfig};
pub use event::Event;
pub use latency_window::LatencyWindow;
pub use policy::RetryPolicy;
pub use reason::RetryReason;
pub use repeatable::is_repeatable;
pub use service_state::ServiceRetryState;
pub use state_machine::RequestStateMachine;
