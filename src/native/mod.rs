//! Chervillug's own interface towards callers, targets and the services that keep its state.

mod heads;
mod http_platform;
mod policy;

pub use heads::NativeHeads;
pub use http_platform::HttpPlatform;
pub use policy::CatalogPolicy;
