//! Readiness, shutdown and load counters of a daemon.

mod bounded_counter;
mod pause_detector;
mod readiness_server;
mod shutdown_grace;
mod shutdown_signal;
mod shutdown_steps;
mod signals;

pub use bounded_counter::{BoundedCounter, BoundedCounterGuard};
pub use pause_detector::PauseDetector;
pub use readiness_server::{readiness_server_task, ReadinessServer};
pub use shutdown_grace::ShutdownGrace;
pub use shutdown_signal::ShutdownSignal;
pub use shutdown_steps::ShutdownSteps;
pub use signals::Signals;
