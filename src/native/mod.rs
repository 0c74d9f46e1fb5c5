//! Chervillug's own interface towards callers, targets and the services that keep its state.

mod head_format;
mod http_platform;
mod policy;

pub use head_format::NativeHeadFormat;
pub use http_platform::HttpPlatform;
pub use policy::CatalogPolicy;
