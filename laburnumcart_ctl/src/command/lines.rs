//! Lines of the logs of several processes.

use std::{
    collections,
    fs, //
};

use serde::Serialize;

use crate::error;

/// A line of a log.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Line {
    /// Time as written; texts of one format sort by time.
    pub(super) time: String,
    pub(super) event: String,
    pub(super) fields: collections::BTreeMap<String, String>,
}

/// Reads the lines of several files, in the order of their time.
pub(super) fn read(files: &[String]) -> Result<Vec<Line>, error::Error> {
    let mut lines = Vec::new();
    for file in files {
        let text = fs::read_to_string(file).map_err(|cause| error::Error::File {
            file: file.clone(),
            cause,
        })?;
        lines.extend(text.lines().filter_map(parse));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(lines)
}

impl Line {
    pub(super) fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Parses a line of `key=value` pairs; what stands before the time is left out.
fn parse(text: &str) -> Option<Line> {
    let (_, rest) = text.split_once("time=")?;
    let (time, mut rest) = rest.split_once(' ')?;
    let mut fields = collections::BTreeMap::new();
    while let Some((key, value)) = rest.split_once('=') {
        let (value, after) = word(value);
        fields.insert(key.trim().to_owned(), value);
        rest = after;
    }
    Some(Line {
        time: time.into(),
        event: fields.remove("event")?,
        fields,
    })
}

/// Splits a value, in quotes or plain, from what follows.
fn word(text: &str) -> (String, &str) {
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
