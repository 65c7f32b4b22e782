//! What commands print.

use std::fmt;

use serde::Serialize;

/// A result in both of its forms.
#[derive(Clone, Debug)]
pub struct Output {
    text: String,
    json: serde_json::Value,
    code: u8,
}

impl Output {
    /// Creates the forms of a result.
    pub fn new(result: &(impl fmt::Display + Serialize)) -> Self {
        Self {
            text: result.to_string(),
            json: serde_json::to_value(result).unwrap_or_default(),
            code: 0,
        }
    }

    /// Creates a result that is a text in either form.
    pub fn text(text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            json: serde_json::Value::String(text.clone()),
            text,
            code: 0,
        }
    }

    /// Creates a result that is a JSON document in either form.
    pub fn document(json: serde_json::Value) -> Self {
        Self {
            text: format!("{json:#}"),
            json,
            code: 0,
        }
    }

    /// Sets the exit code of a command that has something to print and yet did not get all.
    #[must_use]
    pub fn exit(mut self, code: u8) -> Self {
        self.code = code;
        self
    }

    /// Returns the exit code.
    pub fn code(&self) -> u8 {
        self.code
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
