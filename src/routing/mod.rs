//! Routing configuration: routes by host and path prefix, services, workspaces and keys.

mod configuration;
mod era_gate;
mod freshness;
mod policy;
mod route_table;
mod view;

pub use configuration::{
    CallerLimitOverrides, Configuration, HostRoute, ServiceSettings, WeightedService,
    WorkspaceConfig,
};
pub use era_gate::{EraGate, EraVerdict};
pub use freshness::Freshness;
pub use policy::RoutingPolicy;
pub use route_table::{RouteTable, Workspace};
pub use view::ConfigurationView;
