//! `explain`: the course and outcome of one request, from the logs of gateways.

use std::{
    collections,
    fmt, //
};

use serde::Serialize;

use crate::{
    args,
    command::logs::{
        self,
        Line, //
    },
    error,
    output, //
};

/// Event and reason of a refusal by content.
const QUARANTINED: &str = "quarantined";

/// Duration and outcome of one stage.
#[derive(Clone, Debug, Serialize)]
struct Stage {
    stage: String,
    service: String,
    outcome: String,
    millis: u64,
}

/// Outcome of a request, its cause, and the log lines of the request.
#[derive(Clone, Debug, Serialize)]
struct Explanation {
    request: String,
    cause: String,
    stages: Vec<Stage>,
    lines: Vec<Line>,
}

/// Reports the outcome of a request and its cause, the duration of each stage, and its log lines by
/// time.
pub(super) fn explain(args: &args::Args) -> Result<output::Output, error::Error> {
    let request = args.first_positional();
    let mut lines = logs::read_files(&args.positional()[1..])?;
    let refused = lines
        .iter()
        .find(|line| line.event == QUARANTINED && line.field("request") == request);
    let content = refused.map(|line| line.field("content").to_owned());
    let tries = tries_of_stream(&lines, request);
    lines.retain(|line| {
        let is_of_content = content.as_deref() == Some(line.field("content"));
        tries.contains(line.field("request")) || is_of_content && line.event != QUARANTINED
    });
    if lines.is_empty() {
        let text = format!("no log line found for request {request}");
        return Err(error::Error::Usage(text));
    }
    let is_own = |line: &&Line| ["", request].contains(&line.field("request"));
    let own: Vec<_> = lines.iter().filter(is_own).cloned().collect();
    Ok(output::Output::new(&Explanation {
        request: request.into(),
        cause: describe_outcome(&own),
        stages: own.iter().filter_map(parse_stage).collect(),
        lines,
    }))
}

/// Returns the attempts by which a caller began a stream and took it up, as far as the logs tell.
fn tries_of_stream(lines: &[Line], request: &str) -> collections::HashSet<String> {
    let admitted = || lines.iter().filter(|line| line.event == "admitted");
    let own = admitted().find(|line| line.field("request") == request);
    let first = match own.map(|line| line.field("resumes")) {
        Some(resumes) if !["", "none"].contains(&resumes) => resumes,
        _ => request,
    };
    let later = admitted().filter(|line| line.field("resumes") == first);
    let later = later.map(|line| line.field("request"));
    later.chain([first, request]).map(str::to_owned).collect()
}

fn parse_stage(line: &Line) -> Option<Stage> {
    (line.event == "stage-ended").then(|| Stage {
        stage: line.field("stage").into(),
        service: line.field("service").into(),
        outcome: line.field("outcome").into(),
        millis: line.field("taken_ms").parse().unwrap_or(0),
    })
}

/// Describes the outcome of a request and its cause in one sentence.
fn describe_outcome(lines: &[Line]) -> String {
    describe_answer(lines) + &ended_connection(lines)
}

fn describe_answer(lines: &[Line]) -> String {
    let last = |event: &str| lines.iter().rev().find(|line| line.event == event);
    if let Some(end) = last("answered") {
        let status = end.field("status");
        if status.starts_with('5') {
            return format!(
                "the target itself answered with status {status} after {} ms{}",
                end.field("taken_ms"),
                failed_sends(lines)
            );
        }
        return format!(
            "answered after {} ms{}",
            end.field("taken_ms"),
            slowest_stage(lines)
        );
    }
    if let Some(end) = last("stream-broken") {
        let (reason, event) = (end.field("reason"), end.field("last"));
        return format!(
            "the stream was cut off after event {event}: {reason}{}{}",
            interruptions(lines),
            failed_sends(lines)
        );
    }
    let Some(end) = last("refused") else {
        return match last("connection-ended") {
            Some(_) => "no outcome was logged".into(),
            None => "no outcome was logged: the caller disconnected, or the process exited".into(),
        };
    };
    let (reason, verdict) = (end.field("reason"), end.field("verdict"));
    if reason == QUARANTINED {
        let crashed = crashed_targets(lines);
        return format!("refused ({verdict}): its content crashes targets{crashed}");
    }
    if let Some(forecast) = last("forecast").filter(|f| f.field("judgement") == "refused") {
        let (queues, slack) = (forecast.field("queues_ms"), forecast.field("slack_ms"));
        return format!(
            "refused ({verdict}): not started, as its stages were estimated to complete after \
             {queues} ms, and it was due in {slack} ms"
        );
    }
    if let Some(queue) = last("job-refused") {
        let (service, outlook) = (queue.field("service"), queue.field("outlook_ms"));
        let due = queue.field("due_ms");
        return format!(
            "refused ({verdict}): the queue of {service} estimated its completion after \
             {outlook} ms, and it was due in {due} ms"
        );
    }
    format!(
        "refused ({verdict}): {reason}{}{}",
        origin_of_stream(lines),
        failed_sends(lines)
    )
}

/// Describes the end of the caller's connection before the answer was written as a whole.
fn ended_connection(lines: &[Line]) -> String {
    let Some(end) = lines.iter().rev().find(|l| l.event == "connection-ended") else {
        return String::new();
    };
    format!(
        "; its connection ended after {} ms in state {}: {}",
        end.field("age_ms"),
        end.field("state"),
        end.field("cause")
    )
}

/// Describes why the streams of targets were given up.
fn interruptions(lines: &[Line]) -> String {
    let interrupted = lines.iter().filter(|l| l.event == "stream-interrupted");
    let describe = |line: &Line| {
        let (target, cause) = (line.field("target"), line.field("cause"));
        match cause {
            "silent" => format!(
                "; target {target}: silent for {} ms",
                line.field("silent_ms")
            ),
            _ => format!("; target {target}: stream {cause}"),
        }
    };
    interrupted.map(describe).collect()
}

/// Describes where a stream began that the request takes up.
fn origin_of_stream(lines: &[Line]) -> String {
    let Some(origin) = lines.iter().find(|line| line.event == "origin") else {
        return String::new();
    };
    format!(
        "; the stream began at version {} of {}, by {}",
        origin.field("version"),
        origin.field("service"),
        origin.field("source")
    )
}

/// Lists the targets that crashed with the content of a request, and how long before.
fn crashed_targets(lines: &[Line]) -> String {
    let levels = ["content-quarantined", "content-limited"];
    let before = lines.iter().take_while(|line| line.event != QUARANTINED);
    let before = before.filter(|line| levels.contains(&&*line.event));
    let Some(level) = before.last() else {
        return String::new();
    };
    let targets = level.field("targets").split(',');
    let crashed = targets.zip(level.field("ages_ms").split(','));
    let crashed = crashed.map(|(target, age)| format!("{target} {age} ms before"));
    let crashed: Vec<_> = crashed.collect();
    format!("; at {}: {}", level.time, crashed.join(", "))
}

/// Describes the failed sends to targets, and a retry that the budget denied.
fn failed_sends(lines: &[Line]) -> String {
    let failed = lines.iter().filter(|line| line.event == "send-failed");
    let describe = |line: &Line| {
        format!(
            "; target {}: {}",
            line.field("target"),
            line.field("reason")
        )
    };
    let failed: String = failed.map(describe).collect();
    failed + &denied_retry(lines)
}

/// Describes the exhausted retry budget, if it prevented a retry.
fn denied_retry(lines: &[Line]) -> String {
    let is_denied = |line: &&Line| {
        let decided = (line.field("outcome"), line.field("cause"));
        line.event == "repeat" && decided == ("denied", "budget")
    };
    let Some(line) = lines.iter().rev().find(is_denied) else {
        return String::new();
    };
    format!(
        "; not retried: {} of {} allowed retries of {} were spent",
        line.field("spent"),
        line.field("allowed"),
        line.field("service")
    )
}

/// Describes the stage that took longest.
fn slowest_stage(lines: &[Line]) -> String {
    let stages = lines.iter().filter_map(parse_stage);
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

impl fmt::Display for Explanation {
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
            let is_own = |key: &str, value: &str| key == "request" && value == self.request;
            for (key, value) in line.fields.iter().filter(|(k, v)| !is_own(k, v)) {
                write!(f, " {key}={value}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
