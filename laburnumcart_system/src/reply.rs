//! Replies to callers, and checks of them against the executions that targets recorded.

use std::collections;

use serde_json::Value;

use crate::http;

/// Reply to one request as its caller received it.
#[derive(Clone, Debug)]
pub enum Reply {
    /// A complete response.
    Complete {
        /// Request ID.
        request: String,
        /// Output of the last stage.
        output: Value,
    },
    /// A refusal.
    Refused {
        /// Request ID; absent if the request was refused before it had one.
        request: Option<String>,
        /// `not-run` or `may-have-run`.
        verdict: String,
        /// Reason of the refusal.
        reason: String,
        /// Delay in seconds before the caller should resend.
        retry_after: Option<u64>,
    },
    /// The connection ended without a response; valid only if the entry has ended.
    NoResponse,
}

impl Reply {
    /// Parses a response, either a JSON body or a stream of events.
    ///
    /// # Panics
    ///
    /// Panics when the chunks of a stream do not add up to the text in its `end` event.
    pub fn from_response(response: Result<http::Response, http::Failure>) -> Self {
        let Ok(response) = response else {
            return Self::NoResponse;
        };
        let retry_after = response.header("retry-after").and_then(|r| r.parse().ok());
        if response.header("content-type") != Some("text/event-stream") {
            return match response.status {
                200 => Self::complete(&response.json()),
                _ => Self::refused(&response.json(), retry_after),
            };
        }
        let mut chunks = String::new();
        for event in response.body.split("\n\n") {
            let field = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
            let data = field("data:").unwrap_or_default();
            let data: Value = serde_json::from_str(data).unwrap_or_default();
            match field("event:").map(str::trim) {
                Some("chunk") => chunks.push_str(data["text"].as_str().expect("text")),
                // The status of a stream is sent before its outcome is known.
                Some("error") => {
                    let delay_ms = data["retry_after_ms"].as_u64();
                    return Self::refused(&data, delay_ms.map(|ms| ms.div_ceil(1000)));
                }
                Some("end") => {
                    assert_eq!(data["output"]["text"], chunks, "chunks of {data}");
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

    fn refused(body: &Value, retry_after: Option<u64>) -> Self {
        Self::Refused {
            request: text(&body["request"]),
            verdict: text(&body["verdict"]).expect("verdict"),
            reason: text(&body["reason"]).expect("reason"),
            retry_after,
        }
    }

    /// Returns the request ID, if the reply holds one.
    pub fn request_id(&self) -> Option<&str> {
        match self {
            Self::Complete { request, .. } => Some(request),
            Self::Refused { request, .. } => request.as_deref(),
            Self::NoResponse => None,
        }
    }

    /// Reports whether the reply is a complete response.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }

    /// Reports whether the request was refused with the verdict `not-run`.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { verdict, .. } if verdict == "not-run")
    }
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

/// Returns the number of replies of each kind as text: complete, verdict and reason, no response.
pub fn summarize<'a>(replies: impl IntoIterator<Item = &'a Reply>) -> String {
    let mut counts = collections::BTreeMap::<String, usize>::new();
    for reply in replies {
        let name = match reply {
            Reply::Complete { .. } => "complete".to_owned(),
            Reply::Refused {
                verdict, reason, ..
            } => format!("{verdict} ({reason})"),
            Reply::NoResponse => "no response".to_owned(),
        };
        *counts.entry(name).or_default() += 1;
    }
    let counts = counts.iter().map(|(name, count)| format!("{count} {name}"));
    counts.collect::<Vec<_>>().join(", ")
}

/// Checks replies against the executions that the targets recorded.
///
/// # Panics
///
/// Panics when a complete response does not hold the expected output, a request refused as `not-run`
/// has an execution, or a stage of a non-idempotent request has two.
pub fn check_replies<'a>(
    replies: impl IntoIterator<Item = (&'a Reply, &'a Value)>,
    rows: &[Value],
) {
    for (reply, expected) in replies {
        if let Reply::Complete { output, .. } = reply {
            assert_eq!(output, expected, "wrong output: {reply:?}");
        }
        if reply.is_not_run() {
            let request = reply.request_id();
            let ran: Vec<_> = rows
                .iter()
                .filter(|row| request.is_some() && row["request"].as_str() == request)
                .collect();
            assert!(
                ran.is_empty(),
                "executed despite the verdict not-run: {reply:?} {ran:?}"
            );
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

/// Checks that the requests of `old` have no attempts in `after` beyond those in `before`.
///
/// # Panics
///
/// Panics when there is one.
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
        assert!(!is_old || is_known, "executed after the fault: {row}");
    }
}
