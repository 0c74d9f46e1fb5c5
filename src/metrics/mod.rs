//! Counters and latency histograms of a daemon.

mod counter;
mod export;
mod latency;
mod registry;

pub use counter::Counter;
pub use export::statsd_export_task;
pub use latency::Latency;
pub use registry::Metrics;
