//! Faults that a fake target can inject.

use std::time;

use laburnumcart::unit;
use serde::{
    Deserialize,
    Serialize, //
};

/// Faults in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Behaviour {
    /// A body that contains this text crashes the target.
    pub crash_on: Option<String>,
    /// Whether calls make no progress.
    pub freeze: bool,
    /// Factor for all times.
    pub slow: f64,
    /// Share of the calls that fail.
    pub fail: f64,
    /// Whether a failing call fails at its start instead of halfway.
    pub fail_fast: bool,
    /// Delay between accepting an order to load or unload models and applying it.
    #[serde(rename = "order_time")]
    pub order_delay: unit::Period,
    /// Age of the reported load; `None` for the value from the settings.
    pub load_lag: Option<unit::Period>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            crash_on: None,
            freeze: false,
            slow: 1.0,
            fail: 0.0,
            fail_fast: false,
            order_delay: unit::Period(time::Duration::ZERO),
            load_lag: None,
        }
    }
}

/// Change of the faults; absent fields keep their values.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// See [`Behaviour::crash_on`]; the empty text ends this fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash_on: Option<String>,
    /// See [`Behaviour::freeze`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub freeze: Option<bool>,
    /// See [`Behaviour::slow`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow: Option<f64>,
    /// See [`Behaviour::fail`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail: Option<f64>,
    /// See [`Behaviour::fail_fast`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fail_fast: Option<bool>,
    /// See [`Behaviour::order_delay`].
    #[serde(rename = "order_time", skip_serializing_if = "Option::is_none")]
    pub order_delay: Option<unit::Period>,
    /// See [`Behaviour::load_lag`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_lag: Option<unit::Period>,
    /// Crashes the target at once and keeps it down for this time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<unit::Period>,
}

impl Behaviour {
    /// Applies a change.
    pub fn apply(&mut self, change: Change) {
        if let Some(text) = change.crash_on {
            self.crash_on = Some(text).filter(|text| !text.is_empty());
        }
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.slow = change.slow.unwrap_or(self.slow);
        self.fail = change.fail.unwrap_or(self.fail);
        self.fail_fast = change.fail_fast.unwrap_or(self.fail_fast);
        self.order_delay = change.order_delay.unwrap_or(self.order_delay);
        self.load_lag = change.load_lag.or(self.load_lag);
    }
}
