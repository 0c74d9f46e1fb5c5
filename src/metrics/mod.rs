//! Counters of one daemon.

mod counter;
mod export;
mod registry;

pub use counter::Counter;
pub use export::export_task;
pub use registry::Metrics;
