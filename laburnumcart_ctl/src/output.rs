//! Output of commands, as text or as JSON.

use std::fmt;

use serde::Serialize;

/// Output of a command in both formats, with its exit code.
#[derive(Clone, Debug)]
pub struct Output {
    text: String,
    json: serde_json::Value,
    code: u8,
}

impl Output {
    /// Creates the output from a result that can be shown and serialized.
    pub fn new(result: &(impl fmt::Display + Serialize)) -> Self {
        Self {
            text: result.to_string(),
            json: serde_json::to_value(result).unwrap_or_default(),
            code: 0,
        }
    }

    /// Creates an output of plain text; as JSON it is a string.
    pub fn from_text(text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            json: serde_json::Value::String(text.clone()),
            text,
            code: 0,
        }
    }

    /// Creates an output that is a JSON document, which the text format indents.
    pub fn from_json(json: serde_json::Value) -> Self {
        Self {
            text: format!("{json:#}"),
            json,
            code: 0,
        }
    }

    /// Sets the exit code of a command that prints a partial result.
    #[must_use]
    pub fn with_exit_code(mut self, code: u8) -> Self {
        self.code = code;
        self
    }

    /// Returns the exit code.
    pub fn exit_code(&self) -> u8 {
        self.code
    }

    /// Formats the output, as text or as JSON.
    pub fn render(&self, json: bool) -> String {
        if json {
            format!("{}\n", self.json)
        } else {
            format!("{}\n", self.text.trim_end())
        }
    }
}
