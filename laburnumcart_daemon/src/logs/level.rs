//! Severity of log lines.

use derive_more::Display;
use serde::Deserialize;

/// Severity of log lines.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    Eq,
    PartialEq,
    Deserialize,
    schemars::JsonSchema,
)]
#[serde(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is logged.
    Off,
    /// Failures that need a repair.
    Error,
    /// Conditions that an operator should check.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Details for developers.
    Debug,
    /// All lines.
    Trace,
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => Self::Off,
            Level::Error => Self::Error,
            Level::Warn => Self::Warn,
            Level::Info => Self::Info,
            Level::Debug => Self::Debug,
            Level::Trace => Self::Trace,
        }
    }
}
