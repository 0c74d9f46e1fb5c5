//! The users' platform: its names, formats and calls, translated into the product's types.
//!
//! Nothing here decides. What a field holds stands beside it where its name misleads.

mod configuration;
mod head_format;
mod row_client;
mod target_entry;

use std::{env, path::PathBuf};

pub use configuration::decode_configuration;
pub use head_format::PlatformHeadFormat;
pub use row_client::RowClient;
pub use target_entry::decode_target;

/// Table that holds the operator's configuration.
pub const CONFIGURATION_TABLE: &str = "op";
/// Key of the newest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// Table in which targets register themselves.
pub const TARGETS_TABLE: &str = "servers";

/// Returns the path of the settings file that the platform names to a process.
pub fn settings_path() -> Option<PathBuf> {
    env::var_os("CHERVILLUG_CONFIG").map(PathBuf::from)
}
