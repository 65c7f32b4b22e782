//! Sends requests to the entries and checks their responses.

use std::{
    net,
    sync::atomic,
    time, //
};

use serde::Deserialize;
use serde_json::Value;

use crate::{
    client,
    load::{
        case,
        report, //
    },
};

/// Delay before the next entry is tried, as entries may still be starting.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(20);

/// Time after the deadline in which a late response is still accepted.
const LATE_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Client of the entries that acts like the platform's load balancer.
pub(super) struct System {
    client: client::Client,
    entries: Vec<net::SocketAddr>,
    next: atomic::AtomicUsize,
    resend: bool,
}

#[derive(Deserialize)]
struct Completed {
    request: String,
    output: Value,
}

#[derive(Deserialize)]
struct Problem {
    verdict: String,
    reason: String,
    #[serde(default)]
    retry_after_ms: Option<u64>,
}

#[derive(Deserialize)]
struct Chunk {
    text: String,
}

impl System {
    pub(super) fn new(client: client::Client, entries: Vec<net::SocketAddr>, resend: bool) -> Self {
        Self {
            client,
            entries,
            next: atomic::AtomicUsize::new(0),
            resend,
        }
    }

    /// Sends a request until it has an outcome; also returns the number of resends.
    pub(super) async fn send(&self, case: &case::Case) -> (report::Outcome, u32) {
        let timeout = case.remaining() + LATE_LIMIT;
        let mut resent = 0;
        let outcome =
            tokio::time::timeout(timeout, self.send_with_resends(case, &mut resent)).await;
        (outcome.unwrap_or(report::Outcome::Lost), resent)
    }

    async fn send_with_resends(&self, case: &case::Case, resent: &mut u32) -> report::Outcome {
        loop {
            let response = match self.post(case).await {
                Ok(response) => response,
                // Nothing was sent, so a load balancer would try the next entry.
                Err(client::CallError::NotConnected) if !case.remaining().is_zero() => {
                    tokio::time::sleep(RECONNECT_DELAY).await;
                    continue;
                }
                Err(_) => return report::Outcome::Lost,
            };
            let (outcome, delay) = evaluate(case, &response);
            let delay = delay.filter(|delay| self.resend && *delay < case.remaining());
            let Some(delay) = delay else { return outcome };
            tokio::time::sleep(delay).await;
            *resent += 1;
        }
    }

    async fn post(&self, case: &case::Case) -> Result<client::Response, client::CallError> {
        let index = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let entry = self.entries[index % self.entries.len()];
        let url = format!("http://{entry}/v1/pipelines/{}", case.pipeline);
        let bearer = format!("Bearer {}", case.token);
        let remaining = case.remaining().as_millis().max(1);
        let deadline = format!("{remaining}ms");
        let mut headers = vec![
            ("authorization", bearer.as_str()),
            ("x-deadline", deadline.as_str()),
        ];
        if let Some(key) = &case.key {
            headers.push(("idempotency-key", key));
            headers.push(("x-idempotent", "false"));
        }
        if case.events {
            headers.push(("accept", "text/event-stream"));
        }
        self.client
            .post(&url, &headers, case.body.to_string())
            .await
    }
}

/// Evaluates a response; also returns the delay before a resend, if one is allowed.
fn evaluate(
    case: &case::Case,
    response: &client::Response,
) -> (report::Outcome, Option<time::Duration>) {
    if response.status != 200 {
        return evaluate_refusal(&response.body, response.retry_after);
    }
    if !case.events {
        return (evaluate_body(case, &response.body), None);
    }
    let events = client::parse_events(&String::from_utf8_lossy(&response.body));
    let Some((last, chunks)) = events.split_last() else {
        return (report::Outcome::Lost, None);
    };
    match last.name.as_str() {
        "end" => (evaluate_stream(case, chunks, &last.data), None),
        "error" => evaluate_refusal(last.data.as_bytes(), None),
        _ => (report::Outcome::Lost, None),
    }
}

fn evaluate_body(case: &case::Case, body: &[u8]) -> report::Outcome {
    match serde_json::from_slice::<Completed>(body) {
        Ok(completed) => report::Outcome::Answered {
            correct: completed.output == case.output(),
            request: completed.request,
        },
        Err(_) => report::Outcome::Lost,
    }
}

/// Evaluates a stream, whose chunks must add up to the text of its end event.
fn evaluate_stream(case: &case::Case, chunks: &[client::Event], end: &str) -> report::Outcome {
    let mut outcome = evaluate_body(case, end.as_bytes());
    let chunk = |event: &client::Event| serde_json::from_str::<Chunk>(&event.data).ok();
    let text: Option<String> = chunks.iter().map(|e| chunk(e).map(|c| c.text)).collect();
    if let report::Outcome::Answered { correct, .. } = &mut outcome {
        let output = case.output();
        *correct &= match output.get("text").and_then(Value::as_str) {
            Some(expected) => text.as_deref() == Some(expected),
            None => text.is_some(),
        };
    }
    outcome
}

fn evaluate_refusal(body: &[u8], header: Option<u64>) -> (report::Outcome, Option<time::Duration>) {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return (report::Outcome::Lost, None);
    };
    let delay = problem.retry_after_ms.map(time::Duration::from_millis);
    let delay = delay.or(header.map(time::Duration::from_secs));
    let delay = delay.filter(|_| problem.verdict == "not-run");
    let outcome = report::Outcome::Refused {
        verdict: problem.verdict,
        reason: problem.reason,
    };
    (outcome, delay)
}
