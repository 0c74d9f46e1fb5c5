//! A proxy fleet for targets with gray failures.
//!
//! The crate is a library so that tests and benchmarks can use its parts; the product is the
//! program `chervillug`.

pub mod admission;
pub mod catalog;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod command;
pub mod config;
pub mod daemon;
pub mod exit_code;
pub mod explain;
pub mod follow;
pub mod health;
pub mod hosts;
pub mod http;
pub mod lease;
pub mod lifecycle;
pub mod limit;
pub mod logging;
pub mod membership;
pub mod metrics;
pub mod native;
pub mod operator;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod poison;
pub mod pool;
pub mod proxy;
pub mod queue;
pub mod quota;
pub mod retry;
pub mod revision;
pub mod routing;
pub mod store;
pub mod sync;

pub use command::run;
