//! Settings of a daemon.

mod error;
mod limiter_kind;
mod limits;
mod load;
mod settings;

pub use error::SettingsError;
pub use limiter_kind::LimiterKind;
pub use limits::LimitSettings;
pub use load::{load, parse};
pub use settings::Settings;
