//! The adapter to the users' platform, which translates its names, formats and calls into the
//! product's types.
//!
//! The adapter makes no decisions. A field whose name is misleading has a comment on its meaning.

mod configuration;
mod evacuation;
mod head_format;
mod row_client;
mod target_entry;

use std::{env, path::PathBuf};

pub use configuration::decode_configuration;
pub use evacuation::{check_evacuation_value, evacuated_data_centre};
pub use head_format::PlatformHeadFormat;
pub use row_client::RowClient;
pub use target_entry::{decode_entry_warmup, decode_target};

/// Table that holds the operator's configuration.
pub const CONFIGURATION_TABLE: &str = "op";
/// Key of the newest configuration.
pub const CONFIGURATION_KEY: &str = "config";
/// Table in which targets register themselves.
pub const TARGETS_TABLE: &str = "servers";

/// Returns the path of the settings file that the platform passes to a process.
pub fn settings_path() -> Option<PathBuf> {
    env::var_os("CHERVILLUG_CONFIG").map(PathBuf::from)
}
