//! The story of one request, read from the logs of gateways.

use std::fmt;

use serde::Serialize;

use crate::{
    args,
    command::lines::{
        self,
        Line, //
    },
    error,
    output, //
};

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
    let mut lines = lines::read(&args.free()[1..])?;
    lines.retain(|line| line.field("request") == request);
    if lines.is_empty() {
        let text = format!("no line tells of request {request}");
        return Err(error::Error::Usage(text));
    }
    Ok(output::Output::new(&Story {
        request: request.into(),
        cause: cause(&lines),
        stages: lines.iter().filter_map(stage).collect(),
        lines,
    }))
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
        let status = end.field("status");
        if status.starts_with('5') {
            return format!(
                "the target itself answered {status}, after {} ms{}",
                end.field("taken_ms"),
                sends(lines)
            );
        }
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
    if let Some(forecast) = last("forecast").filter(|f| f.field("judgement") == "refused") {
        let (queues, slack) = (forecast.field("queues_ms"), forecast.field("slack_ms"));
        return format!(
            "refused ({verdict}): not begun, as the queues of its stages would be done with it \
             after {queues} ms, and it was due in {slack} ms"
        );
    }
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
    let failed: String = failed.map(tell).collect();
    failed + &denied(lines)
}

/// Tells why a request was not sent again, if a budget decided that.
fn denied(lines: &[Line]) -> String {
    let is_denied = |line: &&Line| {
        let decided = (line.field("outcome"), line.field("cause"));
        line.event == "repeat" && decided == ("denied", "budget")
    };
    let Some(line) = lines.iter().rev().find(is_denied) else {
        return String::new();
    };
    format!(
        "; not sent again: {} of {} repeats of {} were spent",
        line.field("spent"),
        line.field("allowed"),
        line.field("service")
    )
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
