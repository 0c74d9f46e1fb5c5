//! Whole configurations: routes by host and prefix, their services, workspaces and keys.

mod configuration;
mod freshness;
mod policy;
mod route_table;
mod view;

pub use configuration::{
    CallerLimitOverrides, Configuration, HostRoute, ServiceSettings, WeightedService,
    WorkspaceConfig,
};
pub use freshness::Freshness;
pub use policy::RoutingPolicy;
pub use route_table::{RouteTable, Workspace};
pub use view::ConfigurationView;
