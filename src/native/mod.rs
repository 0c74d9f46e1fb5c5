//! Chervillug's native interface to callers, to targets and to the services that hold its state.

mod head_format;
mod http_platform;
mod policy;

pub use head_format::NativeHeadFormat;
pub use http_platform::HttpPlatform;
pub use policy::CatalogPolicy;
