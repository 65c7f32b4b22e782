//! Default paths of files.

/// Default path of the settings file.
pub const SETTINGS: &str = "laburnumctl.json";
