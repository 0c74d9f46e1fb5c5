//! Chervillug's own interface towards callers, targets and the services that keep its state.

mod http_platform;

pub use http_platform::HttpPlatform;
