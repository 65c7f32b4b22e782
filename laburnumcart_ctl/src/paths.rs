//! Files that are read unless the command line names others.

/// Settings.
pub const SETTINGS: &str = "laburnumctl.json";
