//! Start, shutdown and requests in flight of one daemon.

mod bounded_counter;
mod pause_watch;
mod ready_server;
mod shutdown;
mod shutdown_steps;
mod signals;

pub use bounded_counter::{BoundedCounter, BoundedCounterGuard};
pub use pause_watch::PauseWatch;
pub use ready_server::{ready_task, ReadyServer};
pub use shutdown::Shutdown;
pub use shutdown_steps::ShutdownSteps;
pub use signals::Signals;
