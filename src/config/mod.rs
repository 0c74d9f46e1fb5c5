//! Settings of a daemon.

mod error;
mod limits;
mod load;
mod settings;

pub use error::SettingsError;
pub use limits::LimitSettings;
pub use load::{load, parse};
pub use settings::Settings;
