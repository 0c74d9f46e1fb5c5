//! Decisions during the life of a request, from the choice of a target to the end of the answer.
//!
//! [`RequestMachine`] decides, and holds neither sockets nor clocks. [`RetryBudget`] bounds what
//! retries add to the load of a service, and [`LatencyWindow`] tells when a connection counts as
//! silent.

mod action;
mod budget;
mod event;
mod facts;
mod failure;
mod latency_window;
mod machine;
mod reason;
mod repeatable;
mod service_state;

pub use action::{Action, ConnectionKind};
pub use budget::{RetryBudget, RetryTerms};
pub use event::Event;
pub use facts::RequestFacts;
pub use failure::Failure;
pub use latency_window::LatencyWindow;
pub use machine::RequestMachine;
pub use reason::RetryReason;
pub use repeatable::is_repeatable;
pub use service_state::ServiceState;
