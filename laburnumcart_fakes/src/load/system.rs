//! Sends requests to the entries and reads their answers.

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

/// Pause before another entry is tried that may still be starting.
const CONNECT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Time past the deadline for which an answer is still waited for.
const GRACE: time::Duration = time::Duration::from_secs(2);

/// Entries as callers see them behind the platform's balancer.
pub(super) struct System {
    client: client::Client,
    entries: Vec<net::SocketAddr>,
    turn: atomic::AtomicUsize,
    resend: bool,
}

#[derive(Deserialize)]
struct Whole {
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
struct Piece {
    text: String,
}

impl System {
    pub(super) fn new(client: client::Client, entries: Vec<net::SocketAddr>, resend: bool) -> Self {
        Self {
            client,
            entries,
            turn: atomic::AtomicUsize::new(0),
            resend,
        }
    }

    /// Sends a request until it is settled; returns how often it was sent again.
    pub(super) async fn send(&self, case: &case::Case) -> (report::Outcome, u32) {
        let patience = case.remaining() + GRACE;
        let mut resent = 0;
        let settled = tokio::time::timeout(patience, self.settle(case, &mut resent)).await;
        (settled.unwrap_or(report::Outcome::Lost), resent)
    }

    async fn settle(&self, case: &case::Case, resent: &mut u32) -> report::Outcome {
        loop {
            let answer = match self.call(case).await {
                Ok(answer) => answer,
                // Nothing was sent: the balancer would try the next entry.
                Err(client::CallError::NotConnected) if !case.remaining().is_zero() => {
                    tokio::time::sleep(CONNECT_PAUSE).await;
                    continue;
                }
                Err(_) => return report::Outcome::Lost,
            };
            let (outcome, pause) = judge(case, &answer);
            let pause = pause.filter(|pause| self.resend && *pause < case.remaining());
            let Some(pause) = pause else { return outcome };
            tokio::time::sleep(pause).await;
            *resent += 1;
        }
    }

    async fn call(&self, case: &case::Case) -> Result<client::Response, client::CallError> {
        let turn = self.turn.fetch_add(1, atomic::Ordering::Relaxed);
        let entry = self.entries[turn % self.entries.len()];
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

/// Reads an answer; also returns the pause after which it is worth to send again.
fn judge(
    case: &case::Case,
    answer: &client::Response,
) -> (report::Outcome, Option<time::Duration>) {
    if answer.status != 200 {
        return refused(&answer.body, answer.retry_after);
    }
    if !case.events {
        return (whole(case, &answer.body), None);
    }
    let events = client::parse_events(&String::from_utf8_lossy(&answer.body));
    let Some((last, chunks)) = events.split_last() else {
        return (report::Outcome::Lost, None);
    };
    match last.name.as_str() {
        "end" => (streamed(case, chunks, &last.data), None),
        "error" => refused(last.data.as_bytes(), None),
        _ => (report::Outcome::Lost, None),
    }
}

fn whole(case: &case::Case, body: &[u8]) -> report::Outcome {
    match serde_json::from_slice::<Whole>(body) {
        Ok(whole) => report::Outcome::Answered {
            correct: whole.output == case.output(),
            request: whole.request,
        },
        Err(_) => report::Outcome::Lost,
    }
}

/// Reads a stream's answer; its pieces must make up the same text as its end.
fn streamed(case: &case::Case, chunks: &[client::Event], end: &str) -> report::Outcome {
    let mut outcome = whole(case, end.as_bytes());
    let piece = |event: &client::Event| serde_json::from_str::<Piece>(&event.data).ok();
    let text: Option<String> = chunks.iter().map(|e| piece(e).map(|p| p.text)).collect();
    if let report::Outcome::Answered { correct, .. } = &mut outcome {
        let output = case.output();
        *correct &= match output.get("text").and_then(Value::as_str) {
            Some(wanted) => text.as_deref() == Some(wanted),
            None => text.is_some(),
        };
    }
    outcome
}

fn refused(body: &[u8], header: Option<u64>) -> (report::Outcome, Option<time::Duration>) {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return (report::Outcome::Lost, None);
    };
    let pause = problem.retry_after_ms.map(time::Duration::from_millis);
    let pause = pause.or(header.map(time::Duration::from_secs));
    let pause = pause.filter(|_| problem.verdict == "not-run");
    let outcome = report::Outcome::Refused {
        verdict: problem.verdict,
        reason: problem.reason,
    };
    (outcome, pause)
}
