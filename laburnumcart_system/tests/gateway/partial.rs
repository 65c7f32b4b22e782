//! Answers of targets that end at each of their bytes.

mod calls;
mod heads;

use std::{
    collections,
    sync::{
        Arc,
        Mutex, //
    },
    time,
};

use http::{
    HeaderMap,
    HeaderValue,
    StatusCode, //
};
use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step,
    Target, //
};
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Response,
    System,
    config,
    events,
    unlimited_retries, //
};

/// Time in which what was sent arrives before the connection ends.
const PAUSE: Step = Step::Pause(time::Duration::from_millis(30));

/// Number of targets of requests that may be repeated; those that fail are ejected for a while.
const TARGETS: usize = 8;

/// Number of events of a whole stream.
const EVENTS: u32 = 2;

/// Name of the attempts that are answered as a whole.
const WARM: &str = "warm";

/// How a target tells the length of an answer's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunked,
    Trailers,
    Interim,
    LineFeeds,
    Empty,
    NoContent,
    /// The body ends with its connection.
    Unframed,
    Old,
}

use Framing::{
    Chunked,
    Empty,
    Interim,
    Length,
    LineFeeds,
    NoContent,
    Old,
    Trailers,
    Unframed, //
};

/// How a target ends the connection after a part of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum End {
    Close,
    Reset,
    LateClose,
    LateReset,
}

impl End {
    fn steps(self) -> Vec<Step> {
        match self {
            Self::Close => vec![Step::Close],
            Self::Reset => vec![Step::Reset],
            Self::LateClose => vec![PAUSE, Step::Close],
            Self::LateReset => vec![PAUSE, Step::Reset],
        }
    }

    fn is_reset(self) -> bool {
        matches!(self, Self::Reset | Self::LateReset)
    }
}

impl Framing {
    /// Returns the body as its target means it.
    fn body(self, whole: &str) -> &str {
        match self {
            Empty | NoContent => "",
            _ => whole,
        }
    }

    /// Returns the bytes of a whole answer, and how many of them are its head.
    fn answer(self, attempt: &str, whole: &str) -> (Vec<u8>, usize) {
        let version = if self == Old { "HTTP/1.0" } else { "HTTP/1.1" };
        let interim = match self {
            Interim => "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
            _ => "",
        };
        let status = if self == NoContent {
            "204 No Content"
        } else {
            "200 OK"
        };
        let body = self.body(whole);
        let framing = match self {
            Length | Interim | LineFeeds | Empty => format!("content-length: {}\r\n", body.len()),
            Chunked => "transfer-encoding: chunked\r\n".into(),
            Trailers => "trailer: x-sum\r\ntransfer-encoding: chunked\r\n".into(),
            NoContent | Unframed | Old => String::new(),
        };
        // The framing is the last field, so that each earlier cut loses it.
        let mut head = format!(
            "{interim}{version} {status}\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
             x-laburnumcart-server-stamp: s\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
        );
        if self == LineFeeds {
            head = head.replace("\r\n", "\n");
        }
        let trailer = if self == Trailers { "x-sum: 1\r\n" } else { "" };
        let body = match self {
            Chunked | Trailers => {
                let (first, rest) = body.split_at(body.len() / 2);
                let (a, b) = (first.len(), rest.len());
                format!("{a:x}\r\n{first}\r\n{b:x};a=b\r\n{rest}\r\n0\r\n{trailer}\r\n")
            }
            _ => body.to_owned(),
        };
        let size = head.len();
        ((head + &body).into_bytes(), size)
    }
}

/// How a target answers.
#[derive(Clone, Copy, Debug)]
struct Cut {
    framing: Framing,
    end: End,
    /// Event after which the truncated answer goes on, if it resumes a stream.
    after: Option<u32>,
}

/// Numbers of requests by attempt, at all targets.
type Sends = Arc<Mutex<collections::HashMap<String, usize>>>;

/// Returns the whole body of an answer to a request on `path`, of a stream after event `after`.
fn whole_body(path: &str, after: u32) -> String {
    match path.starts_with("/stream") || path.starts_with("/resumed") {
        true => events(after + 1..=EVENTS),
        false => "whole".into(),
    }
}

impl Cut {
    /// Returns the distance between the bytes at which answers are cut; pauses take long.
    fn stride(self) -> usize {
        match (self.end, self.framing) {
            (End::LateClose | End::LateReset, _) => 7,
            (End::Close, _) | (End::Reset, Length | Chunked | Unframed) => 1,
            (End::Reset, _) => 3,
        }
    }

    /// Returns the steps of a target: the first answer to an attempt is cut, or the first that resumes
    /// its stream, and all others are whole.
    fn steps(self, seen: &ReceivedRequest, sends: &Sends) -> Vec<Step> {
        let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
        let number = {
            let mut sends = sends.lock().unwrap();
            let number = sends.entry(attempt.to_owned()).or_default();
            *number += 1;
            *number
        };
        let last = seen.header("last-event-id").map(|id| id.parse().unwrap());
        let body = whole_body(seen.path(), last.unwrap_or(0));
        // The attempt names the number of bytes that are sent.
        let size = attempt
            .rsplit('-')
            .next()
            .and_then(|size| size.parse().ok());
        match (size, self.after, number) {
            (Some(_), Some(after), 1) => broken_after(attempt, after),
            (Some(size), None, 1) | (Some(size), Some(_), 2) => {
                let (bytes, _) = self.framing.answer(attempt, &body);
                let mut steps = vec![Step::Send(bytes[..size].to_vec())];
                steps.extend(self.end.steps());
                steps
            }
            _ => vec![Step::Send(Length.answer(attempt, &body).0)],
        }
    }
}

/// Returns the steps of a stream that breaks off after event `last`.
fn broken_after(attempt: &str, last: u32) -> Vec<Step> {
    let (mut bytes, head) = Chunked.answer(attempt, "");
    bytes.truncate(head);
    let text = events(1..=last);
    bytes.extend(format!("{:x}\r\n{text}\r\n", text.len()).into_bytes());
    vec![Step::Send(bytes), PAUSE, Step::Close]
}

/// Starts a gateway with `count` targets whose answers are cut.
async fn start(cut: Cut, count: usize) -> (System, Vec<Target>, Sends) {
    let sends = Sends::default();
    let mut targets = Vec::new();
    for _ in 0..count {
        let sends = sends.clone();
        let target = Target::start(move |seen, _| cut.steps(seen, &sends));
        targets.push(target.await.unwrap());
    }
    let names: Vec<_> = (1..=count).map(|number| format!("i-{number}")).collect();
    let named = names.iter().zip(&targets);
    let named: Vec<_> = named
        .map(|(name, target)| (name.as_str(), "desk", target))
        .collect();
    let config = config(|c| {
        for route in c["routes"].as_array_mut().unwrap() {
            route["max_attempts"] = json!(3);
        }
    });
    let system = System::start_with_bounds(unlimited_retries(), config, &named).await;
    (system, targets, sends)
}

async fn call(system: &System, path: &str, attempt: &str) -> Response {
    let id = HeaderValue::try_from(attempt).unwrap();
    let set = |headers: &mut HeaderMap| {
        headers.insert("x-laburnumcart-attempt-id", id);
    };
    system.call(path, set).await
}

/// Cuts the answers to requests on `path` at all of their bytes; returns what callers saw wrongly.
///
/// Every other one is the second answer on its connection.
async fn sweep(path: &str, cut: Cut) -> Vec<String> {
    let is_repeatable = path.starts_with("/safe") || path.starts_with("/resumed");
    let (system, _targets, sends) = start(cut, if is_repeatable { TARGETS } else { 1 }).await;
    let body = whole_body(path, cut.after.unwrap_or(0));
    let (bytes, head) = cut.framing.answer("a-000000", &body);
    let mut faults = Vec::new();
    for size in (0..=bytes.len()).step_by(cut.stride()) {
        if size % 2 == usize::from(cut.end.is_reset()) {
            let response = call(&system, path, WARM).await;
            assert!(response.complete, "{response:?}");
            assert_eq!(response.body, whole_body(path, 0));
        }
        let attempt = format!("a-{size:06}");
        let response = call(&system, path, &attempt).await;
        let sent = sends.lock().unwrap()[&attempt];
        let part = String::from_utf8_lossy(&bytes[head.min(size)..size]);
        let is_ended =
            !path.starts_with("/stream") && !path.starts_with("/resumed") || part.ends_with("\n\n");
        let meant = match cut.framing {
            Unframed | Old if cut.end.is_reset() || size < head || !is_ended => None,
            Unframed | Old => Some(part.as_ref()),
            _ => Some(cut.framing.body(&body)).filter(|_| size == bytes.len()),
        };
        if !is_sound(path, cut, meant, &response, sent) {
            let arrived = String::from_utf8_lossy(&bytes[size.saturating_sub(12)..size]);
            let all = body.len();
            faults.push(format!(
                "{size} of {head}+{all}, {arrived:?}: {sent} {response:?}"
            ));
        }
    }
    faults
}

/// Reports whether a caller saw what it must; `meant` is the body of an answer that was whole, as
/// far as its framing tells.
fn is_sound(path: &str, cut: Cut, meant: Option<&str>, response: &Response, sent: usize) -> bool {
    let whole = whole_body(path, 0);
    let is_ok = response.status.is_success();
    let failures = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
    let is_failed = failures.contains(&response.status);
    if let Some(meant) = meant {
        let before = cut.after.map_or(String::new(), |after| events(1..=after));
        if is_ok && response.complete && response.body == before + meant {
            return true;
        }
        // A reset may overtake what was sent before it.
        if !cut.end.is_reset() {
            return false;
        }
    }
    match path.split('/').nth(1) {
        Some("safe" | "resumed") => is_ok && response.complete && response.body == whole,
        Some("once") => sent == 1 && is_failed,
        _ => {
            let is_begun = whole.starts_with(&response.body) && response.body.ends_with("\n\n");
            sent == 1 && (is_failed || is_ok && !response.complete && is_begun)
        }
    }
}

// An answer that ends early must not look whole, whatever part of it has arrived.
#[rstest]
#[tokio::test]
async fn a_truncated_answer_is_not_taken_for_a_whole_one(
    #[values("/once/1", "/safe/1", "/stream/1", "/resumed/1")] path: &str,
    #[values(
        Length, Chunked, Trailers, Interim, LineFeeds, Empty, NoContent, Unframed, Old
    )]
    framing: Framing,
    #[values(End::Close, End::Reset, End::LateClose, End::LateReset)] end: End,
) {
    let after = None;
    let faults = sweep(
        path,
        Cut {
            framing,
            end,
            after,
        },
    )
    .await;
    assert!(
        faults.is_empty(),
        "{} of them:\n{}",
        faults.len(),
        faults.join("\n")
    );
}

// Another target goes on if the one that resumes a stream ends early as well.
#[rstest]
#[tokio::test]
async fn a_truncated_resumption_goes_on_elsewhere(
    #[values(Length, Chunked)] framing: Framing,
    #[values(End::Close, End::Reset)] end: End,
    #[values(1, EVENTS)] after: u32,
) {
    let after = Some(after);
    let faults = sweep(
        "/resumed/1",
        Cut {
            framing,
            end,
            after,
        },
    )
    .await;
    assert!(
        faults.is_empty(),
        "{} of them:\n{}",
        faults.len(),
        faults.join("\n")
    );
}
