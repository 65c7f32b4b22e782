//! What a caller got, and what the targets' own records must show of it.

use std::collections;

use serde_json::Value;

use crate::http;

/// What a caller got for one request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A whole answer.
    Complete {
        /// Request.
        request: String,
        /// Output of the last stage.
        output: Value,
    },
    /// A refusal.
    Refused {
        /// Request, if it was read that far.
        request: Option<String>,
        /// Whether it may have run.
        verdict: String,
        /// Cause.
        reason: String,
        /// Seconds after which to come again.
        retry_after: Option<u64>,
    },
    /// The connection ended without an answer, which only the end of the entry excuses.
    NoResponse,
}

impl Reply {
    /// Reads an answer, whether it came as one body or as a stream of events.
    ///
    /// # Panics
    ///
    /// Panics when a stream's pieces do not join to the text of its end.
    pub fn from_response(answer: Result<http::Response, http::Failure>) -> Self {
        let Ok(answer) = answer else {
            return Self::NoResponse;
        };
        let retry = answer.header("retry-after").and_then(|r| r.parse().ok());
        if answer.header("content-type") != Some("text/event-stream") {
            return match answer.status {
                200 => Self::complete(&answer.json()),
                _ => Self::refused(&answer.json(), retry),
            };
        }
        let mut pieces = String::new();
        for event in answer.body.split("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let data = field("data:").unwrap_or_default();
            let data: Value = serde_json::from_str(data).unwrap_or_default();
            match field("event:").map(str::trim) {
                Some("chunk") => pieces.push_str(data["text"].as_str().expect("text")),
                // Headers are sent before the outcome is known.
                Some("error") => {
                    let retry = data["retry_after_ms"].as_u64();
                    return Self::refused(&data, retry.map(|ms| ms.div_ceil(1000)));
                }
                Some("end") => {
                    assert_eq!(data["output"]["text"], pieces, "pieces of {data}");
                    return Self::complete(&data);
                }
                _ => {}
            }
        }
        Self::NoResponse
    }

    fn complete(body: &Value) -> Self {
        Self::Complete {
            request: text(&body["request"]).expect("request"),
            output: body["output"].clone(),
        }
    }

    fn refused(body: &Value, retry: Option<u64>) -> Self {
        Self::Refused {
            request: text(&body["request"]),
            verdict: text(&body["verdict"]).expect("verdict"),
            reason: text(&body["reason"]).expect("reason"),
            retry_after: retry,
        }
    }

    /// Returns the request, if it is known.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Complete { request, .. } => Some(request),
            Self::Refused { request, .. } => request.as_deref(),
            Self::NoResponse => None,
        }
    }

    /// Reports whether the answer is whole.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }

    /// Reports whether the request was refused as "not run".
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { verdict, .. } if verdict == "not-run")
    }
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Counts replies as whole, not run, may have run and nothing.
pub fn summarize<'a>(replies: impl IntoIterator<Item = &'a Reply>) -> String {
    let mut counts = collections::BTreeMap::<String, usize>::new();
    for reply in replies {
        let name = match reply {
            Reply::Complete { .. } => "whole".to_owned(),
            Reply::Refused {
                verdict, reason, ..
            } => format!("{verdict} ({reason})"),
            Reply::NoResponse => "nothing".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    let counts = counts.iter().map(|(name, count)| format!("{count} {name}"));
    counts.collect::<Vec<_>>().join(", ")
}

/// Checks replies against the executions that the targets have recorded.
///
/// # Panics
///
/// Panics when a whole answer is not the expected one, a request that was refused as "not run" has
/// an execution, or a stage of a non-idempotent request has two.
pub fn check_replies<'a>(
    replies: impl IntoIterator<Item = (&'a Reply, &'a Value)>,
    rows: &[Value],
) {
    for (reply, expected) in replies {
        if let Reply::Complete { output, .. } = reply {
            assert_eq!(output, expected, "another answer: {reply:?}");
        }
        if reply.is_not_run() {
            let request = reply.request_id();
            let ran: Vec<_> = rows
                .iter()
                .filter(|row| request.is_some() && row["request"].as_str() == request)
                .collect();
            assert!(ran.is_empty(), "not run, yet executed: {reply:?} {ran:?}");
        }
    }
    let mut seen = collections::HashMap::new();
    for row in rows.iter().filter(|row| row["idempotent"] == false) {
        let key = (row["request"].to_string(), row["stage"].to_string());
        if let Some(other) = seen.insert(key, row) {
            panic!("executed twice: {other} and {row}");
        }
    }
}

/// Checks that nothing was executed for `old` requests beyond the attempts in `before`.
///
/// # Panics
///
/// Panics when there is such an execution.
pub fn check_no_new_executions<'a>(
    old: impl IntoIterator<Item = &'a Reply>,
    before: &[Value],
    after: &[Value],
) {
    let old: collections::HashSet<_> = old.into_iter().filter_map(Reply::request_id).collect();
    let known: collections::HashSet<_> = before
        .iter()
        .filter_map(|row| row["attempt"].as_str())
        .collect();
    for row in after {
        let is_old = row["request"].as_str().is_some_and(|r| old.contains(r));
        let is_known = row["attempt"].as_str().is_some_and(|a| known.contains(a));
        assert!(!is_old || is_known, "executed late: {row}");
    }
}
