//! The catalog: the operators' list of plans and access list, and the keys, as of one revision.

mod change;
mod edit;
mod key_hash;
mod plan;
mod route;
mod state;

pub use change::Change;
pub use edit::{Edit, EditId};
pub use key_hash::{KeyHash, KeyHasher};
pub use plan::Plan;
pub use route::{Route, RouteSet};
pub use state::{Catalog, RouteLookup};
