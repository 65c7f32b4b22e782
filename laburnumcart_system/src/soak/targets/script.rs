//! Responses of the soak's targets.

use std::{
    sync::{
        Arc,
        Mutex,
        PoisonError,
        atomic, //
    },
    time, //
};

use serde_json::{
    Value,
    json, //
};

use laburnumcart_fakes::scripted::{
    ReceivedRequest,
    Step, //
};

use crate::soak::{
    history::History,
    poison,
    target_signals,
    versions, //
};

use super::{
    EVENT_GAP,
    EVENTS,
    Mode, //
};

/// Returns the keys by which repeats are recognized: the attempt, or each piece of a batch call.
fn repeat_keys(seen: &ReceivedRequest) -> Vec<String> {
    match seen.path() {
        "/api/stage-free" => Vec::new(),
        "/api/stage-run" => {
            let body: Value = serde_json::from_slice(&seen.body).unwrap_or(Value::Null);
            let items = body["items"].as_array().cloned().unwrap_or_default();
            let key =
                |item: &Value| format!("{}-{}-{}", item["id"], item["stage"], item["segment"]);
            items.iter().map(key).collect()
        }
        _ => {
            let attempt = seen.header("x-laburnumcart-attempt-id");
            attempt.map(str::to_owned).into_iter().collect()
        }
    }
}

/// Behaviour of one target.
pub(super) struct Script {
    pub(super) name: String,
    pub(super) host: String,
    pub(super) version: &'static str,
    pub(super) service: &'static str,
    pub(super) mode: Arc<Mutex<Mode>>,
    pub(super) limit: Arc<Mutex<Option<f64>>>,
    pub(super) leaving: Arc<atomic::AtomicBool>,
    /// Whether its refusals ask for backoff.
    pub(super) backs_off: bool,
    pub(super) history: Arc<History>,
}

impl Script {
    pub(super) fn steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        // Held while the response is made, so that the limit in it is the recorded one.
        let limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        let mut steps = self.base_steps(seen);
        let first = steps.iter_mut().find_map(|step| match step {
            Step::Send(bytes) => Some(bytes),
            _ => None,
        });
        let limit = limit.map(|limit| format!("server-limit: {limit}\r\n"));
        let leaving = self.leaving.load(atomic::Ordering::Acquire);
        if leaving && first.is_some() {
            self.history.record_announcement(&self.name);
        }
        let leaving = leaving.then(|| "server-leaving: 1\r\n".to_owned());
        let extra: String = limit.into_iter().chain(leaving).collect();
        if let Some(first) = first.filter(|_| !extra.is_empty()) {
            let head = String::from_utf8_lossy(first);
            let head = head.replacen("\r\n", &format!("\r\n{extra}"), 1);
            *first = head.into_bytes();
        }
        steps
    }

    /// Returns the steps without limit and announcement headers.
    fn base_steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        let mode = *self.mode.lock().unwrap_or_else(PoisonError::into_inner);
        self.history.record_keys(self.service, repeat_keys(seen));
        if seen.header("x-laburnumcart-expect-instance") != Some(&self.name) {
            return vec![response(seen, "421 Misdirected Request", "", "")];
        }
        self.history.record_arrival(&self.name);
        if let Some(steps) = poison::crash_steps(seen, &self.history) {
            return steps;
        }
        if seen.path() == "/api/stage-free" {
            return vec![response(seen, "200 OK", "", "")];
        }
        if mode == Mode::Shed {
            let mut proof = "x-laburnumcart-not-executed: 1\r\n".to_owned();
            if self.backs_off {
                self.history.record_refusal(&self.name);
                proof += &format!("retry-after: {}\r\n", target_signals::BACKOFF.as_secs());
            }
            return vec![response(seen, "503 Service Unavailable", &proof, "")];
        }
        let steps = match self.service {
            "encode" => self.batch_steps(seen),
            "tale" => self.stream_steps(seen),
            _ => self.plain_steps(seen),
        };
        apply_mode(steps, mode)
    }

    fn plain_steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
        self.history.record_run(attempt, &self.name);
        let work = Step::Pause(time::Duration::from_millis(5));
        vec![work, stamped(seen, &format!("answer to {attempt}"))]
    }

    fn stream_steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
        let inputs = seen.header("x-laburnumcart-inputs").unwrap_or_default();
        let own = format!("/{attempt}-0-");
        let mut pieces: Vec<_> = inputs
            .split(',')
            .filter_map(|i| i.split_once(&own))
            .collect();
        pieces.sort_by_key(|(_, piece)| *piece);
        if pieces.iter().map(|(_, piece)| *piece).ne(["0", "1"]) {
            self.history
                .record_breach(format!("{attempt} received the inputs {inputs:?}"));
        }
        self.history.record_run(attempt, &self.name);
        let after = seen.header("last-event-id").and_then(|id| id.parse().ok());
        let first: u32 = after.unwrap_or(0) + 1;
        let mut steps = vec![Step::Send(
            format!(
                "HTTP/1.1 200 OK\r\nx-laburnumcart-attempt-id: {attempt}\r\n\
                 x-laburnumcart-server-stamp: {}\r\ncontent-type: text/event-stream\r\n\
                 transfer-encoding: chunked\r\n\r\n",
                self.name
            )
            .into_bytes(),
        )];
        let gap = seen.header(EVENT_GAP).and_then(|gap| gap.parse().ok());
        let gap = time::Duration::from_millis(gap.unwrap_or(15));
        for id in first..=EVENTS {
            let mark = versions::mark(self.version);
            let event = format!("{mark}id: {id}\ndata: {attempt} {id}\n\n");
            steps.push(Step::Pause(gap));
            steps.push(Step::Send(
                format!("{:x}\r\n{event}\r\n", event.len()).into_bytes(),
            ));
        }
        steps.push(Step::Send(b"0\r\n\r\n".to_vec()));
        steps
    }

    fn batch_steps(&self, seen: &ReceivedRequest) -> Vec<Step> {
        let body: Value = serde_json::from_slice(&seen.body).unwrap_or(Value::Null);
        let items = body["items"].as_array().cloned().unwrap_or_default();
        let result = |item: &Value| {
            let id = item["id"].as_str().unwrap_or_default();
            if item["key"] != json!(format!("key of {id}")) {
                self.history
                    .record_breach(format!("a piece of {id} received the key {}", item["key"]));
            }
            json!({ "handle": format!("{}/{id}-{}-{}", self.host, item["stage"], item["segment"]) })
        };
        let results: Vec<_> = items.iter().map(result).collect();
        let work = 10 + items.len() as u64;
        let answer = stamped(seen, &json!({ "items": results }).to_string());
        vec![Step::Pause(time::Duration::from_millis(work)), answer]
    }
}

/// Returns the step that sends a response; `extra` holds header lines.
fn response(seen: &ReceivedRequest, status: &str, extra: &str, body: &str) -> Step {
    let attempt = seen.header("x-laburnumcart-attempt-id").unwrap_or_default();
    Step::Send(
        format!(
            "HTTP/1.1 {status}\r\nx-laburnumcart-attempt-id: {attempt}\r\n{extra}\
             content-length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes(),
    )
}

/// Returns a successful response with the header that proves its execution.
fn stamped(seen: &ReceivedRequest, body: &str) -> Step {
    response(seen, "200 OK", "x-laburnumcart-server-stamp: s\r\n", body)
}

/// Applies a failure mode to the steps of a complete response.
fn apply_mode(mut steps: Vec<Step>, mode: Mode) -> Vec<Step> {
    match mode {
        Mode::Reset => vec![Step::Pause(time::Duration::from_millis(5)), Step::Reset],
        Mode::Mute => vec![Step::Hang],
        Mode::Cut => {
            let half = steps.len().div_ceil(2);
            steps.truncate(half);
            if let Some(Step::Send(bytes)) = steps.last_mut() {
                bytes.truncate(bytes.len() / 2);
            }
            steps.push(Step::Close);
            steps
        }
        Mode::Double => {
            let last = steps.last().cloned();
            steps.extend(last);
            steps
        }
        Mode::Good | Mode::Shed => steps,
    }
}
