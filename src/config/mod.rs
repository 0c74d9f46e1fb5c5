//! Settings files of the daemons.

mod check;
mod error;
mod front_settings;
mod limiter_kind;
mod limits;
mod load;
mod settings;

pub use error::SettingsError;
pub use front_settings::{FrontSettings, KEY_PROOF_MARGIN};
pub use limiter_kind::LimiterKind;
pub use limits::LimitSettings;
pub use load::{load, load_front, parse, parse_front};
pub use settings::Settings;
