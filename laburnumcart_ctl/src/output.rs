//! What commands print.

use std::fmt;

use serde::Serialize;

/// A result in both of its forms.
#[derive(Clone, Debug)]
pub struct Output {
    text: String,
    json: serde_json::Value,
}

impl Output {
    /// Creates the forms of a result.
    pub fn new(result: &(impl fmt::Display + Serialize)) -> Self {
        Self {
            text: result.to_string(),
            json: serde_json::to_value(result).unwrap_or_default(),
        }
    }

    /// Creates a result that is a text in either form.
    pub fn text(text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            json: serde_json::Value::String(text.clone()),
            text,
        }
    }

    /// Creates a result that is a JSON document in either form.
    pub fn document(json: serde_json::Value) -> Self {
        Self {
            text: format!("{json:#}"),
            json,
        }
    }

    /// Returns what is printed.
    pub fn render(&self, json: bool) -> String {
        if json {
            format!("{}\n", self.json)
        } else {
            format!("{}\n", self.text.trim_end())
        }
    }
}
