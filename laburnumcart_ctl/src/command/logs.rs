//! Parser of log files, which merges the logs of several processes.

use std::{
    collections,
    fs, //
};

use serde::Serialize;

use crate::error;

/// A parsed log line.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Line {
    /// Timestamp as written; all have one format, so that they sort by time as text.
    pub(super) time: String,
    pub(super) event: String,
    pub(super) fields: collections::BTreeMap<String, String>,
}

/// Reads the log lines of several files, sorted by time; skips lines that are not log lines.
pub(super) fn read_files(files: &[String]) -> Result<Vec<Line>, error::Error> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|cause| error::Error::File {
            file: file.clone(),
            cause,
        })?;
        lines.extend(text.lines().filter_map(parse_line));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}

impl Line {
    /// Returns the value of a field; empty if the line lacks it.
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Parses a line of `key=value` pairs; ignores a prefix before `time=`.
fn parse_line(text: &str) -> Option<Line> {
    let (_, rest) = text.split_once("time=")?;
    let (time, mut rest) = rest.split_once(' ')?;
    let mut fields = collections::BTreeMap::new();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, after) = split_value(value);
        fields.insert(key.trim().to_owned(), value);
        rest = after;
    }
    Some(Line {
        time: time.into(),
        event: fields.remove("event")?,
        fields,
    })
}

/// Splits a value, quoted or plain, from the rest of the line.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(' ').unwrap_or(text.len());
        return (text[..end].into(), &text[end..]);
    };
    let mut value = String::new();
    let mut escaped = false;
    for (i, c) in quoted.char_indices() {
        match c {
            '"' if !escaped => return (value, &quoted[i + 1..]),
            '\\' if !escaped => {
                escaped = true;
                continue;
            }
            c => value.push(c),
        }
        escaped = false;
    }
    (value, "")
}
