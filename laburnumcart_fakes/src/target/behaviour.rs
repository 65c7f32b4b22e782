//! Faults that a stand-in target can be told to show.

use std::time;

use laburnumcart::unit;
use serde::{
    Deserialize,
    Serialize, //
};

/// Faults in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Behaviour {
    /// A body that holds this text crashes the target.
    pub crash_on: Option<String>,
    /// Whether calls stand still.
    pub freeze: bool,
    /// Factor on all times.
    pub slow: f64,
    /// Part of the calls that fail.
    pub fail: f64,
    /// Whether such a call fails at once instead of halfway.
    pub fail_fast: bool,
    /// Time from an order's acceptance to its effect.
    pub order_time: unit::Period,
    /// Age of the load that is reported, if not that of the settings.
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
            order_time: unit::Period(time::Duration::ZERO),
            load_lag: None,
        }
    }
}

/// A change of the faults; absent fields stay as they are.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Change {
    /// See [`Behaviour::crash_on`]; the empty text crashes nothing.
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
    /// See [`Behaviour::order_time`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order_time: Option<unit::Period>,
    /// See [`Behaviour::load_lag`].
    #[serde(skip_serializing_if = "Option::is_none")]
    pub load_lag: Option<unit::Period>,
    /// Crashes the target now and keeps it down for this time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub down: Option<unit::Period>,
}

impl Behaviour {
    /// Puts a change into force.
    pub fn apply(&mut self, change: Change) {
        if let Some(text) = change.crash_on {
            self.crash_on = Some(text).filter(|text| !text.is_empty());
        }
        self.freeze = change.freeze.unwrap_or(self.freeze);
        self.slow = change.slow.unwrap_or(self.slow);
        self.fail = change.fail.unwrap_or(self.fail);
        self.fail_fast = change.fail_fast.unwrap_or(self.fail_fast);
        self.order_time = change.order_time.unwrap_or(self.order_time);
        self.load_lag = change.load_lag.or(self.load_lag);
    }
}
