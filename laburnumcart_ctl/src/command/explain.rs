//! The story of one request, read from the logs of gateways.

use std::{
    collections,
    fmt,
    fs, //
};

use serde::Serialize;

use crate::{
    args,
    error,
    output, //
};

/// A line of a log that tells of the request.
#[derive(Clone, Debug, Serialize)]
struct Line {
    /// Time as written; texts of one format sort by time.
    time: String,
    event: String,
    fields: collections::BTreeMap<String, String>,
}

/// Time that one stage took.
#[derive(Clone, Debug, Serialize)]
struct Stage {
    stage: String,
    service: String,
    outcome: String,
    millis: u64,
}

/// What became of a request, and why.
#[derive(Clone, Debug, Serialize)]
struct Story {
    request: String,
    cause: String,
    stages: Vec<Stage>,
    lines: Vec<Line>,
}

/// Prints the lines of a request in order, its time by stage, and why it ended as it did.
pub(super) fn explain(args: &args::Args) -> Result<output::Output, error::Error> {
    let request = args.first();
    let mut lines = Vec::new();
    for file in &args.free()[1..] {
        let text = fs::read_to_string(file).map_err(|cause| error::Error::File {
            file: file.clone(),
            cause,
        })?;
        let all = text.lines().filter_map(parse);
        lines.extend(all.filter(|line| line.field("request") == request));
    }
    if lines.is_empty() {
        let text = format!("no line tells of request {request}");
        return Err(error::Error::Usage(text));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(output::Output::new(&Story {
        request: request.into(),
        cause: cause(&lines),
        stages: lines.iter().filter_map(stage).collect(),
        lines,
    }))
}

impl Line {
    fn field(&self, name: &str) -> &str {
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

fn stage(line: &Line) -> Option<Stage> {
    (line.event == "stage-ended").then(|| Stage {
        stage: line.field("stage").into(),
        service: line.field("service").into(),
        outcome: line.field("outcome").into(),
        millis: line.field("taken_ms").parse().unwrap_or(0),
    })
}

/// Tells in one sentence why a request ended as it did.
fn cause(lines: &[Line]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    if let Some(end) = last("answered") {
        return format!(
            "answered after {} ms{}",
            end.field("taken_ms"),
            slowest(lines)
        );
    }
    if let Some(end) = last("stream-broken") {
        let (reason, event) = (end.field("reason"), end.field("last"));
        return format!(
            "the stream broke off after event {event}: {reason}{}",
            sends(lines)
        );
    }
    let Some(end) = last("refused") else {
        return "no end is logged: the caller left, or the process ended".into();
    };
    let (reason, verdict) = (end.field("reason"), end.field("verdict"));
    if let Some(queue) = last("job-refused") {
        let (service, outlook) = (queue.field("service"), queue.field("outlook_ms"));
        let due = queue.field("due_ms");
        return format!(
            "refused ({verdict}): the queue of {service} expected it after {outlook} ms, and it \
             was due in {due} ms"
        );
    }
    format!("refused ({verdict}): {reason}{}", sends(lines))
}

/// Tells of the sends that failed.
fn sends(lines: &[Line]) -> String {
    let failed = lines.iter().filter(|line| line.event == "send-failed");
    let tell = |line: &Line| {
        format!(
            "; target {}: {}",
            line.field("target"),
            line.field("reason")
        )
    };
    failed.map(tell).collect()
}

/// Tells which stage took longest.
fn slowest(lines: &[Line]) -> String {
    let stages = lines.iter().filter_map(stage);
    match stages.max_by_key(|stage| stage.millis) {
        Some(Stage {
            stage,
            service,
            millis,
            ..
        }) => format!("; the longest stage was {stage} at {service} with {millis} ms"),
        None => String::new(),
    }
}

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}: {}", self.request, self.cause)?;
        for stage in &self.stages {
            let Stage {
                stage,
                service,
                outcome,
                millis,
            } = stage;
            writeln!(
                f,
                "  stage {stage} at {service}: {outcome} after {millis} ms"
            )?;
        }
        for line in &self.lines {
            write!(f, "{} {}", line.time, line.event)?;
            for (key, value) in line.fields.iter().filter(|(key, _)| *key != "request") {
                write!(f, " {key}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
