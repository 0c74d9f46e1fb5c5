//! Retry decisions for a request, from picking a target to the end of the response.
//!
//! [`RequestStateMachine`] makes the decisions and holds neither sockets nor clocks.
//! [`RetryBudget`] limits the load that retries add to a service, and [`LatencyWindow`] determines
//! the time after which a connection is considered silent. [`Hedge`] decides on a second attempt
//! beside the first one, within the limit that [`ServiceHedging`] keeps.

mod action;
mod attempt_failure;
mod budget;
mod event;
mod fleet_limit;
mod hedge;
mod hedge_limit;
mod latency_window;
mod policy;
mod reason;
mod repeatable;
mod route_latencies;
mod service_hedging;
mod service_retry_state;
mod state_machine;
mod upload_error;

pub use action::{Action, ConnectionSource};
pub use attempt_failure::AttemptFailure;
pub use budget::{RetryBudget, RetryBudgetConfig};
pub use event::Event;
pub use fleet_limit::FleetRetryLimit;
pub use hedge::{
    Attempt, Hedge, HedgeAction, HedgeConditions, HedgeEvent, HedgePolicy, HedgeRefusal,
};
pub use hedge_limit::HedgeLimit;
pub use latency_window::LatencyWindow;
pub use policy::RetryPolicy;
pub use reason::RetryReason;
pub use repeatable::is_repeatable;
pub use route_latencies::RouteLatencies;
pub use service_hedging::ServiceHedging;
pub use service_retry_state::ServiceRetryState;
pub use state_machine::RequestStateMachine;
pub use upload_error::UploadError;
